#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_GATE_CALL_HEAD_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_GATE_CALL_HEAD_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "adapters/http/caller_protocol.hpp"
#include "adapters/http/message_head.hpp"
#include "adapters/http/message_reader.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/gate/gate_call.hpp"
#include "hemlockshelf/gate/idempotency_records.hpp"

namespace hemlockshelf {

/// A request of an entry as the gate passes it on.
struct gate_request
{
    gate_call call_;
    std::string pool_;
    std::string request_id_;
    std::optional<idempotency_id> idempotency_;
    /// Head for the upstream without the time that is left.
    std::string head_;
    /// Framing of the body towards the upstream.
    body_framing framing_;
    /// Whether the entry holds the body back until a 100.
    bool expects_continue_ = false;
    bool to_head_request_ = false;
    unsigned version_ = 0;
};

/// Reads an entry's request and removes from it what the upstream must not
/// get. The error is `bad_request`.
result<gate_request> read_gate_request(
    request_parser& request, const caller_protocol& protocol, steady_time now);

/// Returns the head for the upstream `instance`, with the time that is left.
std::string make_upstream_request_head(
    const gate_request& request,
    const caller_protocol& protocol,
    std::string_view instance,
    std::chrono::nanoseconds time_left);

} // namespace hemlockshelf

#endif
