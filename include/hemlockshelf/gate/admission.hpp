#ifndef HEMLOCKSHELF_GATE_ADMISSION_HPP
#define HEMLOCKSHELF_GATE_ADMISSION_HPP

#include <cstdint>
#include <optional>

#include "hemlockshelf/gate/gate_call.hpp"
#include "hemlockshelf/gate/gate_state.hpp"

namespace hemlockshelf {

/// Offers a call: it is admitted, queued or refused at once. The events list
/// the waiting calls that were started or refused meanwhile.
admission_result
offer_call(gate_state& state, const gate_call& call, steady_time now);

/// Releases the slot of an admitted call and starts waiting calls. Does nothing
/// and returns nothing if the call holds no slot, so that a call can't be
/// released twice.
std::optional<gate_events>
release_call(gate_state& state, gate_call_id id, steady_time now);

/// Removes a call from the queue because its caller has disconnected. Returns
/// false if the call is not queued; one that holds a slot has to be released
/// instead.
bool cancel_waiting(gate_state& state, gate_call_id id);

/// Refuses the waiting calls that can no longer be served in time, revokes the
/// link grants of overdue bodies, and starts the calls that can then use the
/// link or the slots reserved for lookups. The gate's owner calls it at
/// `next_expiry`.
gate_events expire_waiting(gate_state& state, steady_time now);

/// Returns when `expire_waiting` is due next, or nothing if no call is queued
/// and no body is in transfer. The time at which a body becomes overdue counts
/// even if no call is queued, since queueing a call later does not wake the
/// owner.
std::optional<steady_time> next_expiry(const gate_state& state);

/// Sets the capacity that the upstream announces. Running calls are never
/// aborted: after a reduction no call starts until enough have ended.
gate_events set_capacity(
    gate_state& state,
    slot_count slots,
    connection_count connections,
    steady_time now);

/// Records that `bytes` more of a running call's body have arrived, with the
/// rest still in transfer, and frees that part of the link for other calls.
gate_events record_body_progress(
    gate_state& state, gate_call_id id, byte_count bytes, steady_time now);

/// Records that the whole body of a running call has arrived and frees the link
/// for other calls. `bytes` is the body's size. Only for bodies whose arrival
/// `reports_body_arrival`.
gate_events record_body_arrival(
    gate_state& state, gate_call_id id, byte_count bytes, steady_time now);

/// Refuses every waiting and every later call; running calls finish.
gate_events begin_drain(gate_state& state);

/// Accepts calls again, after an upstream has withdrawn its drain.
void end_drain(gate_state& state);

/// Returns the slots that are left for new calls after the queued ones have
/// started; 0 while draining. Sent to entries in `Hemlockshelf-Free-Slots`.
std::uint32_t free_slots(const gate_state& state);

} // namespace hemlockshelf

#endif
