#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_GATE_ANSWER_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_GATE_ANSWER_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "adapters/http/message_head.hpp"
#include "hemlockshelf/core/error_kind.hpp"
#include "hemlockshelf/routing/upstream_load.hpp"

namespace hemlockshelf {

/// What a gate says about an answer that is its own and not its upstream's.
struct gate_refusal
{
    error_kind kind_ = error_kind::internal;
    bool not_run_ = false;
    /// Whether the upstream itself refused the request.
    bool by_upstream_ = false;
    /// Time until the gate expects to have room; 0 if it does not say.
    std::chrono::milliseconds expected_wait_{0};
};

/// Returns what the gate says, or nothing if the answer is the upstream's.
std::optional<gate_refusal> parse_refusal(const response_head& head);

/// Returns what an answer shows about the gate's upstream.
call_report make_call_report(const response_head& head);

/// Whether the answer belongs to the request. A gate repeats the request's id,
/// so that a late answer to an earlier request is recognized.
bool answers_request(const response_head& head, std::string_view id);

/// Returns the head of the answer for the caller. The not-run header stands on
/// it only if the gate's refusal proves it.
std::string make_caller_response_head(
    response_head& head,
    const body_framing& framing,
    std::string_view id,
    bool keep_connection);

} // namespace hemlockshelf

#endif
