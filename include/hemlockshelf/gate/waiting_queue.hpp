#ifndef HEMLOCKSHELF_GATE_WAITING_QUEUE_HPP
#define HEMLOCKSHELF_GATE_WAITING_QUEUE_HPP

#include <chrono>
#include <optional>

#include "hemlockshelf/gate/gate_state.hpp"

namespace hemlockshelf {

/// Returns the latest time at which a waiting call may start. A call that can
/// only end after its deadline would waste its slot.
steady_time latest_start(const gate_state& state, const waiting_call& call);

/// Removes the calls that can no longer start in time.
void drop_expired(gate_state& state, gate_events& events, steady_time now);

/// Removes and returns the call with the highest precedence among those that
/// may start now.
std::optional<waiting_call> dequeue_next(gate_state& state, steady_time now);

/// Estimates how long a call would wait for a slot and for the link.
std::chrono::nanoseconds expected_wait(
    const gate_state& state, const waiting_call& call, steady_time now);

/// Queues a call. If the queue is full, a call of lower precedence is removed
/// to make room. Returns the reason if the call is refused instead.
std::optional<refusal_reason> enqueue(
    gate_state& state,
    const waiting_call& call,
    std::chrono::nanoseconds wait,
    gate_events& events,
    steady_time now);

} // namespace hemlockshelf

#endif
