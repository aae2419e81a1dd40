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

/// Identifies a call within one gate. Ids are never reused.
using gate_call_id = strong_type<struct gate_call_id_tag, std::uint64_t>;

/// Groups calls that are expected to have about the same service time.
struct work_kind
{
    traffic_class class_ = traffic_class::standard;
    std::uint32_t priority_ = route_row::default_priority;
    std::chrono::milliseconds target_latency_{0};

    friend auto operator<=>(const work_kind&, const work_kind&) = default;
};

/// A call that an entry asks a gate to run.
struct gate_call
{
    client_account_id account_;
    vm_id entry_vm_;
    traffic_class class_ = traffic_class::standard;
    steady_time deadline_{};
    /// Priority of the route; 0 is the highest.
    std::uint32_t priority_ = route_row::default_priority;
    /// Target latency of the route; 0 if it has none.
    std::chrono::milliseconds target_latency_{0};
    /// Time after which the response misses the route's target latency; the
    /// maximum if the route has none.
    steady_time target_time_ = steady_time::max();
    /// Longest expected wait that the entry accepts before it asks another gate
    /// instead.
    std::chrono::nanoseconds max_wait_ = std::chrono::nanoseconds::max();
    /// Target service of the call; empty if the entry names none.
    service_name service_{};
    /// Whether the entry sends the body only after the call has started.
    bool awaits_body_ = false;
    /// Size of that body, if known.
    std::optional<byte_count> body_{};
};

/// Returns the kind of work to which a call belongs.
work_kind work_kind_of(const gate_call& call);

/// Why a gate refuses a call. A refused call was not run.
enum class refusal_reason
{
    /// The upstream has announced no slots or connections.
    no_capacity,
    /// The upstream runs another service, because its address was reused.
    other_service,
    draining,
    /// The deadline has passed.
    expired,
    /// The call is not expected to end before its deadline.
    wait_too_long,
    queue_full,
    /// The VM's link is not expected to transfer the body in time.
    link_full,
    /// A call of higher precedence took its place in the full queue.
    displaced,
};

/// Returns the reason's name, for logs and metrics.
std::string_view to_string(refusal_reason value);

/// Returns the error kind of the response to a refused call.
error_kind refusal_kind(refusal_reason value);

/// A call that has left the queue without being run.
struct refused_call
{
    gate_call_id id_;
    refusal_reason reason_ = refusal_reason::expired;
};

/// Waiting calls that an operation has started or refused.
struct gate_events
{
    /// Calls that have got a slot, in the order of their start.
    std::vector<gate_call_id> started_;
    std::vector<refused_call> refused_;
};

enum class admission
{
    /// The call holds a slot until `release_call`.
    admitted,
    /// The call is queued; its id appears in the events of a later operation.
    queued,
    refused,
};

/// Result of offering a call.
struct admission_result
{
    admission admission_ = admission::refused;
    /// Id of an admitted or queued call.
    gate_call_id id_;
    /// Only with `admission::refused`.
    refusal_reason reason_ = refusal_reason::no_capacity;
    /// Estimate of the time in the queue.
    std::chrono::nanoseconds expected_wait_{0};
    /// Events of other calls, to be handled before this result.
    gate_events events_;
};

} // namespace hemlockshelf

#endif
