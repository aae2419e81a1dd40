#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_ENTRY_CALL_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_ENTRY_CALL_HPP

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "adapters/http/caller_protocol.hpp"
#include "adapters/http/message_head.hpp"
#include "adapters/http/message_reader.hpp"
#include "hemlockshelf/config/config_snapshot.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// A caller's request as the entry passes it on.
struct entry_call
{
    /// Keeps `route_` alive.
    std::shared_ptr<const config_snapshot> snapshot_;
    const resolved_route* route_ = nullptr;
    client_account_id account_;
    std::string request_id_;
    /// Head for the gate without the fields that differ between attempts.
    std::string head_;
    body_framing framing_;
    steady_time started_;
    steady_time deadline_;
    /// Time after which the answer is late for the caller; the maximum if the
    /// route has no target latency.
    steady_time objective_ = steady_time::max();
    bool idempotent_ = false;
    bool to_head_request_ = false;
    bool expects_continue_ = false;
    unsigned version_ = 0;
};

/// Finds the route of a request and prepares what is passed on. Removes from
/// the request what a caller may not send. The errors are not-run kinds.
result<entry_call> resolve_call(
    std::shared_ptr<const config_snapshot> snapshot,
    request_parser& request,
    const caller_protocol& protocol,
    const vm_id& entry_vm,
    steady_time now);

/// Whether a request's route says that it may run more than once. A request
/// without a route may not.
bool is_idempotent_call(
    const config_snapshot& snapshot,
    const request_head& head,
    const caller_protocol& protocol);

/// Whether requests of a route with this method may run more than once. Methods
/// of unknown names may not unless the route says so.
bool is_repeatable(const route_row& row, boost::beast::http::verb method);

/// What differs between the attempts of a call.
struct attempt_terms
{
    unsigned number_ = 1;
    /// Whether the gate is asked for a 100 before the body.
    bool handshake_ = false;
    /// Whether the gate may hold the request in its queue for long.
    bool patient_ = false;
    /// Nothing if too little is left.
    std::optional<std::chrono::nanoseconds> time_left_;
};

/// Returns the head of an attempt, or nothing if too little time is left.
std::optional<std::string> attempt_head(
    const entry_call& call, const attempt_terms& terms, steady_time now);

} // namespace hemlockshelf

#endif
