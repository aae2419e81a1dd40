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

/// Refusal or failure that the gate itself reports instead of relaying an
/// answer of its upstream.
struct gate_refusal
{
    error_kind kind_ = error_kind::internal;
    bool not_run_ = false;
    /// Whether the upstream, and not the gate, refused the request.
    bool by_upstream_ = false;
    /// Time until the gate expects a free slot; 0 if the answer has no
    /// estimate.
    std::chrono::milliseconds expected_wait_{0};
};

/// Parses the refusal in an answer; empty if the answer is the upstream's.
std::optional<gate_refusal> parse_refusal(const response_head& head);

/// Returns the outcome of a call and the free slots of the upstream that an
/// answer reports.
call_report make_call_report(const response_head& head);

/// Whether the answer belongs to the request. A gate repeats the request's id,
/// so that a late answer to an earlier request is recognized.
bool answers_request(const response_head& head, std::string_view id);

/// Returns the head of the answer for the caller. It has the not-run header
/// only if the gate's refusal proves that the request was not run.
std::string make_caller_response_head(
    response_head& head,
    const body_framing& framing,
    std::string_view id,
    bool keep_connection);

} // namespace hemlockshelf

#endif
