#ifndef HEMLOCKSHELF_GATE_ADMISSION_HPP
#define HEMLOCKSHELF_GATE_ADMISSION_HPP

#include <cstdint>
#include <optional>

#include "hemlockshelf/gate/gate_call.hpp"
#include "hemlockshelf/gate/gate_state.hpp"

namespace hemlockshelf {

/// Offers a call: it is admitted, queued or refused at once. The events tell
/// of other calls that waited.
admission_result
offer_call(gate_state& state, const gate_call& call, steady_time now);

/// Gives the slot of an admitted call back and starts waiting calls. Nothing
/// happens, and nothing is returned, if the call holds no slot, so that a call
/// can't be released twice.
std::optional<gate_events>
release_call(gate_state& state, gate_call_id id, steady_time now);

/// Takes a call out of the queue because its caller has gone; false if it does
/// not wait (a call that holds a slot is released instead).
bool cancel_waiting(gate_state& state, gate_call_id id);

/// Refuses the waiting calls that can't be served in time any more, takes the
/// link back from overdue bodies, and starts the calls for which the link or
/// the lookups' reserve is free then. The gate's owner calls it at
/// `next_expiry`.
gate_events expire_waiting(gate_state& state, steady_time now);

/// Returns when `expire_waiting` has work next, or nothing if no call waits and
/// no body is on its way. The time at which a body is overdue counts even if no
/// call waits, since a call that comes to wait later does not wake the owner.
std::optional<steady_time> next_expiry(const gate_state& state);

/// Sets what the upstream announces. Running calls are never cut: after a
/// reduction no call starts until enough have ended.
gate_events set_capacity(
    gate_state& state,
    slot_count slots,
    connection_count connections,
    steady_time now);

/// Notes that `bytes` more of the body of a running call have arrived and that
/// the rest is still to come, so that the link is free for others sooner.
gate_events record_body_progress(
    gate_state& state, gate_call_id id, byte_count bytes, steady_time now);

/// Notes that the body of a running call has arrived, so that the link is free
/// for others. `bytes` is its size. Only for bodies whose arrival
/// `reports_body_arrival`.
gate_events record_body_arrival(
    gate_state& state, gate_call_id id, byte_count bytes, steady_time now);

/// Refuses every waiting and every later call; running calls finish.
gate_events begin_drain(gate_state& state);

/// Accepts calls again, after an upstream has withdrawn its drain.
void end_drain(gate_state& state);

/// Returns the slots that the next calls could use, after those that wait; 0
/// while draining. It goes to entries in `Hemlockshelf-Free-Slots`.
std::uint32_t free_slots(const gate_state& state);

} // namespace hemlockshelf

#endif
