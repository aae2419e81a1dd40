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

/// A caller's request, prepared for forwarding to a gate.
struct entry_call
{
    /// Keeps `route_` alive.
    std::shared_ptr<const config_snapshot> snapshot_;
    const resolved_route* route_ = nullptr;
    /// Owner of the route.
    client_account_id account_;
    /// Account of the caller's API key, kept alive by `snapshot_`; null if
    /// callers of the route do not authenticate.
    const known_account* caller_ = nullptr;
    std::string request_id_;
    /// Request head for the gate, without the fields that differ between
    /// attempts.
    std::string head_;
    body_framing framing_;
    steady_time started_;
    steady_time deadline_;
    /// Time at which the route's target latency is exceeded; the maximum if the
    /// route has no target latency.
    steady_time objective_ = steady_time::max();
    bool idempotent_ = false;
    bool to_head_request_ = false;
    bool expects_continue_ = false;
    unsigned version_ = 0;
};

/// Finds the route of a request and prepares the request for forwarding.
/// Removes the header fields that a caller may not send, and the API key.
/// `accounts_confirmed` says whether the node may rely on its accounts. Every
/// error is of a kind that says that the request was not run.
result<entry_call> resolve_call(
    std::shared_ptr<const config_snapshot> snapshot,
    request_parser& request,
    const caller_protocol& protocol,
    const vm_id& entry_vm,
    steady_time now,
    bool accounts_confirmed = true);

/// Whether a request is idempotent according to its route and method. A request
/// without a route is not.
bool is_idempotent_call(
    const config_snapshot& snapshot,
    const request_head& head,
    const caller_protocol& protocol);

/// Whether requests with this method are idempotent on a route. Requests with
/// an unknown method are not, unless the route says so.
bool is_repeatable(const route_row& row, boost::beast::http::verb method);

/// Parameters that differ between the attempts of a call.
struct attempt_parameters
{
    unsigned number_ = 1;
    /// Whether the entry waits for the gate's 100 (Continue) before it sends
    /// the body.
    bool handshake_ = false;
    /// Whether the gate may queue the request for longer than the entry's usual
    /// limit.
    bool may_queue_ = false;
    /// Time left until the deadline; empty if it is too short for an attempt.
    std::optional<std::chrono::nanoseconds> time_left_;
};

/// Returns the request head of an attempt, or nothing if the time left is too
/// short.
std::optional<std::string> attempt_head(
    const entry_call& call,
    const attempt_parameters& parameters,
    steady_time now);

} // namespace hemlockshelf

#endif
