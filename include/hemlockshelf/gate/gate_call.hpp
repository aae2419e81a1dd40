#ifndef HEMLOCKSHELF_GATE_GATE_CALL_HPP
#define HEMLOCKSHELF_GATE_GATE_CALL_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "hemlockshelf/config/route_row.hpp"
#include "hemlockshelf/config/traffic_class.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error_kind.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Names a call within one gate. Ids are never used again.
using gate_call_id = strong_type<struct gate_call_id_tag, std::uint64_t>;

/// Calls of one kind of work take about the same time at an upstream.
struct work_kind
{
    traffic_class class_ = traffic_class::standard;
    std::uint32_t priority_ = route_row::default_priority;
    std::chrono::milliseconds target_latency_{0};

    friend auto operator<=>(const work_kind&, const work_kind&) = default;
};

/// A call that an entry offers to a gate.
struct gate_call
{
    client_account_id account_;
    vm_id entry_vm_;
    traffic_class class_ = traffic_class::standard;
    steady_time deadline_{};
    /// Rank of the route; 0 goes first.
    std::uint32_t priority_ = route_row::default_priority;
    /// Target latency of the route; 0 if it has none.
    std::chrono::milliseconds target_latency_{0};
    /// Time after which the answer is late for the caller; the maximum if the
    /// route has no target latency.
    steady_time target_time_ = steady_time::max();
    /// Longest time that the call may be expected to wait, because its entry
    /// rather asks another gate.
    std::chrono::nanoseconds max_wait_ = std::chrono::nanoseconds::max();
    /// Service that the call is for; empty if the entry names none.
    service_name service_{};
    /// Whether the entry holds the body back until the call starts.
    bool awaits_body_ = false;
    /// Size of that body, if the entry says.
    std::optional<byte_count> body_{};
};

/// Returns the kind of work that a call is.
work_kind kind_of(const gate_call& call);

/// Why a gate refuses a call. A refused call was not run.
enum class refusal_reason
{
    /// The upstream has announced no slots or connections.
    no_capacity,
    /// The upstream runs another service: an address has been used again.
    other_service,
    draining,
    /// The deadline has passed.
    expired,
    /// The call can't be expected to end before its deadline.
    wait_too_long,
    queue_full,
    /// The VM's link can't be expected to bring the body in time.
    link_full,
    /// A call with a better claim has taken its place in the queue.
    displaced,
};

/// Returns the reason's name, for logs and metrics.
std::string_view to_string(refusal_reason value);

/// Returns the error kind with which the refusal is answered.
error_kind refusal_kind(refusal_reason value);

/// A call that has left the queue without being run.
struct refused_call
{
    gate_call_id id_;
    refusal_reason reason_ = refusal_reason::expired;
};

/// What an operation changed for calls that were waiting.
struct gate_events
{
    /// Calls that hold a slot from now on, in order.
    std::vector<gate_call_id> started_;
    std::vector<refused_call> refused_;
};

enum class admission
{
    /// The call holds a slot until `release_call`.
    admitted,
    /// The call waits; its id appears in the events of a later operation.
    queued,
    refused,
};

/// Answer to an offered call.
struct admission_result
{
    admission admission_ = admission::refused;
    /// Id of an admitted or queued call.
    gate_call_id id_;
    /// Only with `admission::refused`.
    refusal_reason reason_ = refusal_reason::no_capacity;
    /// Estimate of the time in the queue.
    std::chrono::nanoseconds expected_wait_{0};
    /// What has become of other calls that waited, to be handled first.
    gate_events events_;
};

} // namespace hemlockshelf

#endif
