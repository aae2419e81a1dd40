#include "hemlockshelf/gate/waiting_queue.hpp"

#include <algorithm>
#include <utility>

namespace hemlockshelf {

namespace {

// Removes the call of lowest precedence from a full queue. Returns false if
// every waiting call has equal or higher precedence than the new one.
bool ensure_queue_space(
    gate_state& state, const waiting_call& call, gate_events& events)
{
    if (state.queue_.size() < queue_limit(state))
    {
        return true;
    }
    auto worst = state.queue_.begin();
    for (auto other = worst; other != state.queue_.end(); ++other)
    {
        worst = has_precedence(state, *other, *worst) ? worst : other;
    }
    if (worst == state.queue_.end() || !has_precedence(state, call, *worst))
    {
        return false;
    }
    events.refused_.push_back({worst->id_, refusal_reason::displaced});
    state.queue_.erase(worst);
    return true;
}

bool meets_deadline(
    const gate_state& state,
    const gate_call& call,
    std::chrono::nanoseconds wait,
    steady_time now)
{
    const std::chrono::duration<double, std::nano> service =
        service_time(state, call) * state.settings_.service_margin_;
    return wait + service <= call.deadline_ - now;
}

bool would_miss_target(
    const gate_state& state, const gate_call& call, steady_time start)
{
    return call.target_time_ != steady_time::max() &&
           start + service_time(state, call) > call.target_time_;
}

// A call that holds a slot for at most the mean time of its class divided by
// this is most likely a lookup that another upstream makes for a request.
// Refusing it wastes the work already done for that request, while running it
// late costs other calls little.
constexpr int short_work_divisor = 2;

bool is_short_work(const gate_state& state, const gate_call& call)
{
    return service_time(state, call) * short_work_divisor <=
           service_time(state, call.class_);
}

// A call that will miss its target latency anyway may wait only for this part
// of it: the slot is better used by calls that can still meet theirs, and the
// caller can retry elsewhere.
constexpr int late_wait_divisor = 4;

bool exceeds_late_wait_limit(
    const gate_state& state,
    const gate_call& call,
    std::chrono::nanoseconds wait,
    steady_time now)
{
    return would_miss_target(state, call, now + wait) &&
           wait > call.target_latency_ / late_wait_divisor &&
           !is_short_work(state, call);
}

// Returns the longest time that the call may wait at this gate. Sending a long
// body to another gate takes longer than waiting for another body here, and may
// use links that cost more.
std::chrono::nanoseconds
wait_limit(const gate_state& state, const gate_call& call)
{
    const std::chrono::nanoseconds grant = state.settings_.link_grant_;
    return body_bytes(state.link_, call) > 0 ? std::max(call.max_wait_, grant)
                                             : call.max_wait_;
}

// Returns when a call leaves the queue. Calls of higher precedence may overtake
// it for a long time; it is refused while its caller can still use the response
// of another upstream.
steady_time
queue_deadline(const gate_state& state, const gate_call& call, steady_time now)
{
    constexpr int wait_limit_factor = 2;
    auto latest = steady_time::max();
    if (call.target_time_ != steady_time::max() && !is_short_work(state, call))
    {
        latest = std::max(
            call.target_time_ - service_time(state, call),
            now + call.target_latency_ / late_wait_divisor);
    }
    const auto limit = wait_limit(state, call);
    if (limit != std::chrono::nanoseconds::max())
    {
        latest = std::min(latest, now + wait_limit_factor * limit);
    }
    return latest;
}

std::chrono::nanoseconds mean_service_time_of_running(const gate_state& state)
{
    std::chrono::nanoseconds total{0};
    for (const auto& entry : state.running_)
    {
        total += service_time(state, entry.second.call_);
    }
    const auto count = static_cast<std::int64_t>(state.running_.size());
    return count > 0 ? total / count : total;
}

// Returns the waiting call of highest precedence among those that may get a
// slot.
auto find_next(gate_state& state, steady_time now, bool with_bodies)
{
    auto best = state.queue_.end();
    for (auto call = state.queue_.begin(); call != state.queue_.end(); ++call)
    {
        const bool skipped =
            !with_bodies && body_bytes(state.link_, call->call_) > 0;
        if (!skipped && may_start(state, call->call_.class_, now) &&
            (best == state.queue_.end() || has_precedence(state, *call, *best)))
        {
            best = call;
        }
    }
    return best;
}

} // namespace

steady_time latest_start(const gate_state& state, const waiting_call& call)
{
    const auto by_deadline =
        call.call_.deadline_ - service_time(state, call.call_);
    return std::min(by_deadline, call.queue_deadline_);
}

void drop_expired(gate_state& state, gate_events& events, steady_time now)
{
    std::erase_if(
        state.queue_,
        [&](const waiting_call& call)
        {
            if (latest_start(state, call) > now)
            {
                return false;
            }
            const bool deadline_passed = call.call_.deadline_ <= now;
            events.refused_.push_back(
                {call.id_, deadline_passed ? refusal_reason::expired
                                           : refusal_reason::wait_too_long});
            return true;
        });
}

std::optional<waiting_call> dequeue_next(gate_state& state, steady_time now)
{
    for (auto& call : state.queue_)
    {
        call.late_ = would_miss_target(state, call.call_, now);
    }
    auto best = find_next(state, now, true);
    if (best != state.queue_.end() &&
        !can_grant(state.link_, body_bytes(state.link_, best->call_)))
    {
        // Other bodies must not overtake it, or a long body would starve.
        best = find_next(state, now, false);
    }
    if (best == state.queue_.end())
    {
        return std::nullopt;
    }
    auto taken = std::move(*best);
    state.queue_.erase(best);
    return taken;
}

std::chrono::nanoseconds expected_wait(
    const gate_state& state, const waiting_call& call, steady_time now)
{
    const auto for_link = link_wait(state, call);
    if (may_start(state, call.call_.class_, now))
    {
        return for_link;
    }
    // The first slot becomes free after a fraction of a running call's service
    // time.
    auto work = mean_service_time_of_running(state);
    for (const auto& other : state.queue_)
    {
        if (!has_precedence(state, call, other))
        {
            work += service_time(state, other.call_);
        }
    }
    const auto for_slot =
        work / std::max(class_limit(state, call.call_.class_), 1U);
    return std::max(for_slot, for_link);
}

std::optional<refusal_reason> enqueue(
    gate_state& state,
    const waiting_call& call,
    std::chrono::nanoseconds wait,
    gate_events& events,
    steady_time now)
{
    const std::chrono::nanoseconds max_wait = state.settings_.max_wait_;
    if (wait > std::min(max_wait, wait_limit(state, call.call_)) ||
        !meets_deadline(state, call.call_, wait, now) ||
        exceeds_late_wait_limit(state, call.call_, wait, now))
    {
        const bool limited_by_link = wait > std::chrono::nanoseconds{0} &&
                                     link_wait(state, call) >= wait;
        return limited_by_link ? refusal_reason::link_full
                               : refusal_reason::wait_too_long;
    }
    if (!ensure_queue_space(state, call, events))
    {
        return refusal_reason::queue_full;
    }
    state.queue_.push_back(call);
    state.queue_.back().queue_deadline_ =
        queue_deadline(state, call.call_, now);
    return std::nullopt;
}

} // namespace hemlockshelf
