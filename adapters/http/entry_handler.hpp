#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_ENTRY_HANDLER_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_ENTRY_HANDLER_HPP

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "adapters/http/endpoint.hpp"
#include "adapters/http/http_message.hpp"
#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// What the entry needs to route a call.
struct entry_context
{
    const snapshot_store* snapshots_ = nullptr;
    /// Returns the gate of an upstream that serves a pool, if there is one.
    std::function<std::optional<endpoint>(const resolved_route&)> choose_gate_;
    vm_id vm_;
    std::string source_address_;
};

/// Routes a caller's request to a gate and returns its answer.
boost::asio::awaitable<http_response>
handle_call(const entry_context& context, http_request request);

} // namespace hemlockshelf

#endif
