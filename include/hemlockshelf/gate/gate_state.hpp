#ifndef HEMLOCKSHELF_GATE_GATE_STATE_HPP
#define HEMLOCKSHELF_GATE_GATE_STATE_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "hemlockshelf/gate/body_link.hpp"
#include "hemlockshelf/gate/gate_call.hpp"
#include "hemlockshelf/gate/gate_settings.hpp"
#include "hemlockshelf/gate/usage_tracker.hpp"

namespace hemlockshelf {

/// A call that holds a slot.
struct running_call
{
    gate_call call_;
    steady_time started_at_{};
    usage_value account_usage_;
    usage_value entry_usage_;
    /// Estimated slot time that was charged at the start.
    std::chrono::nanoseconds charged_{0};
    /// Bytes of the body that were granted and have not arrived yet.
    std::uint64_t granted_ = 0;
    /// Whether the body is long and has not arrived completely, granted or not.
    bool long_body_ = false;
    /// Time at which the grant of the body is revoked.
    steady_time body_due_at_{};
};

/// A call in the queue.
struct waiting_call
{
    gate_call_id id_;
    gate_call call_;
    usage_value account_usage_;
    usage_value entry_usage_;
    /// Whether the response would miss the route's target latency if the call
    /// started now.
    bool late_ = false;
    /// Time at which the call leaves the queue, although its own deadline may
    /// be later.
    steady_time queue_deadline_ = steady_time::max();
};

/// Number of enumerators of `traffic_class`.
inline constexpr std::size_t traffic_class_count = 3;

/// State of a gate. Not thread-safe: the gate's owner holds one lock.
struct gate_state
{
    explicit gate_state(const gate_settings& settings);

    gate_settings settings_;
    slot_count slots_;
    connection_count connections_;
    bool draining_ = false;
    std::uint64_t next_id_ = 1;
    body_link link_;
    /// Number of running calls whose long bodies have not arrived completely.
    std::uint32_t long_bodies_ = 0;
    std::unordered_map<gate_call_id, running_call> running_;
    std::array<std::uint32_t, traffic_class_count> running_by_class_{};
    /// Ordered by arrival.
    std::vector<waiting_call> queue_;
    usage_tracker account_usage_;
    usage_tracker entry_usage_;
    /// Moving average of the time from start to release, by class.
    std::array<std::chrono::nanoseconds, traffic_class_count> service_time_;
    /// Moving average of the time from start to release, by kind of work.
    std::map<work_kind, std::chrono::nanoseconds> service_time_by_kind_;
    /// Last time at which a slot became free after all had been in use.
    steady_time slot_free_since_{};
};

/// Returns the mean service time of a class.
std::chrono::nanoseconds
service_time(const gate_state& state, traffic_class value);

/// Returns the mean service time of calls of the same kind of work, or that of
/// the call's class until a call of the kind has ended.
std::chrono::nanoseconds
service_time(const gate_state& state, const gate_call& call);

/// Returns the number of calls that may run at once: each needs a slot and a
/// connection.
std::uint32_t concurrency_limit(const gate_state& state);

/// Returns the number of calls of a class that may run at once, without the
/// slots that are reserved for lookups.
std::uint32_t class_limit(const gate_state& state, traffic_class value);

/// Returns whether a call of the class could start now.
bool may_start(const gate_state& state, traffic_class value, steady_time now);

/// Returns the time until the transfer of the call's body could start, after
/// the bodies in transfer and those of waiting calls of equal or higher
/// precedence.
std::chrono::nanoseconds
link_wait(const gate_state& state, const waiting_call& call);

/// Returns when other classes may next use the slot that is reserved for
/// lookups, or nothing if they never may.
std::optional<steady_time> reserve_available_at(const gate_state& state);

/// Returns the largest number of calls that may wait.
std::size_t queue_limit(const gate_state& state);

/// Returns whether `left` gets the next free slot before `right`: by class,
/// priority and the shorter target latency, then whether it can still meet that
/// latency, then by the lower recent usage of its account and of its entry.
/// Calls of equal precedence keep the order of arrival.
bool has_precedence(
    const gate_state& state,
    const waiting_call& left,
    const waiting_call& right);

} // namespace hemlockshelf

#endif
