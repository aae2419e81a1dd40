#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_GATE_HANDLER_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_GATE_HANDLER_HPP

#include <functional>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include "adapters/http/http_message.hpp"
#include "hemlockshelf/membership/upstream_announcement.hpp"

namespace hemlockshelf {

/// What the gate needs to pass a call to its upstream.
struct gate_context
{
    /// Returns the upstream's last announcement, unless it has expired.
    std::function<std::optional<upstream_announcement>()> upstream_;
};

/// Passes a request to the node's own upstream, or refuses it.
boost::asio::awaitable<http_response>
handle_gate_call(const gate_context& context, http_request request);

} // namespace hemlockshelf

#endif
