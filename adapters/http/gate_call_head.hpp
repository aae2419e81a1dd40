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

/// An entry's request, prepared to be forwarded to the upstream.
struct gate_request
{
    gate_call call_;
    std::string pool_;
    std::string request_id_;
    std::optional<idempotency_id> idempotency_;
    /// Request line and fields for the upstream, without the remaining time.
    std::string head_;
    /// Framing of the body that is sent to the upstream.
    body_framing framing_;
    /// Whether the entry sends the body only after `100 Continue`.
    bool expects_continue_ = false;
    bool to_head_request_ = false;
    unsigned version_ = 0;
};

/// Parses an entry's request and removes the header fields that must not reach
/// the upstream. The error is `bad_request`.
result<gate_request> read_gate_request(
    request_parser& request, const caller_protocol& protocol, steady_time now);

/// Returns the request head for the upstream `instance`, with the remaining
/// time until the deadline.
std::string make_upstream_request_head(
    const gate_request& request,
    const caller_protocol& protocol,
    std::string_view instance,
    std::chrono::nanoseconds time_left);

} // namespace hemlockshelf

#endif
