#include "hemlockshelf/gate/waiting_queue.hpp"

#include <algorithm>
#include <utility>

namespace hemlockshelf {

namespace {

// Makes room in a full queue; false if every waiting call has as good a claim
// as the new one.
bool make_room(gate_state& state, const waiting_call& call, gate_events& events)
{
    if (state.queue_.size() < queue_limit(state))
    {
        return true;
    }
    auto worst = state.queue_.begin();
    for (auto other = worst; other != state.queue_.end(); ++other)
    {
        worst = has_better_claim(state, *other, *worst) ? worst : other;
    }
    if (worst == state.queue_.end() || !has_better_claim(state, call, *worst))
    {
        return false;
    }
    events.refused_.push_back({worst->id_, refusal_reason::displaced});
    state.queue_.erase(worst);
    return true;
}

bool ends_in_time(
    const gate_state& state,
    const gate_call& call,
    std::chrono::nanoseconds wait,
    steady_time now)
{
    const std::chrono::duration<double, std::nano> service =
        service_time(state, call) * state.settings_.service_margin_;
    return wait + service <= call.deadline_ - now;
}

bool would_be_late(
    const gate_state& state, const gate_call& call, steady_time start)
{
    return call.target_time_ != steady_time::max() &&
           start + service_time(state, call) > call.target_time_;
}

// A call that holds a slot for at most the usual time divided by this is most
// likely a lookup that another upstream makes for a request. To refuse it
// wastes what that request has used, and to run it late costs the others
// little.
constexpr int short_work_divisor = 2;

bool is_short_work(const gate_state& state, const gate_call& call)
{
    return service_time(state, call) * short_work_divisor <=
           service_time(state, call.class_);
}

// A call that will be late anyway may only wait for this part of its target:
// the slot is better used by calls that can still be in time, and the caller
// can try again elsewhere.
constexpr int late_wait_divisor = 4;

bool waits_too_long_for_late(
    const gate_state& state,
    const gate_call& call,
    std::chrono::nanoseconds wait,
    steady_time now)
{
    return would_be_late(state, call, now + wait) &&
           wait > call.target_latency_ / late_wait_divisor &&
           !is_short_work(state, call);
}

// Returns the longest time that the entry lets the call wait here. A long body
// takes longer to send elsewhere than it waits behind another one, and over
// links that cost more.
std::chrono::nanoseconds
longest_wait(const gate_state& state, const gate_call& call)
{
    const std::chrono::nanoseconds grant = state.settings_.link_grant_;
    return body_bytes(state.link_, call) > 0 ? std::max(call.max_wait_, grant)
                                             : call.max_wait_;
}

// Calls with better claims may overtake a waiting one for long. It is refused
// while its caller can still use the answer of another upstream.
steady_time
give_up_time(const gate_state& state, const gate_call& call, steady_time now)
{
    constexpr int overrun = 2;
    auto give_up = steady_time::max();
    if (call.target_time_ != steady_time::max() && !is_short_work(state, call))
    {
        give_up = std::max(
            call.target_time_ - service_time(state, call),
            now + call.target_latency_ / late_wait_divisor);
    }
    const auto longest = longest_wait(state, call);
    if (longest != std::chrono::nanoseconds::max())
    {
        give_up = std::min(give_up, now + overrun * longest);
    }
    return give_up;
}

std::chrono::nanoseconds mean_time_of_running(const gate_state& state)
{
    std::chrono::nanoseconds total{0};
    for (const auto& entry : state.running_)
    {
        total += service_time(state, entry.second.call_);
    }
    const auto count = static_cast<std::int64_t>(state.running_.size());
    return count > 0 ? total / count : total;
}

// Returns the waiting call with the best claim among those that may have a
// slot.
auto next_of(gate_state& state, steady_time now, bool with_bodies)
{
    auto best = state.queue_.end();
    for (auto call = state.queue_.begin(); call != state.queue_.end(); ++call)
    {
        const bool left_out =
            !with_bodies && body_bytes(state.link_, call->call_) > 0;
        if (!left_out && may_start(state, call->call_.class_, now) &&
            (best == state.queue_.end() ||
             has_better_claim(state, *call, *best)))
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
    return std::min(by_deadline, call.give_up_at_);
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
            const bool passed = call.call_.deadline_ <= now;
            events.refused_.push_back(
                {call.id_, passed ? refusal_reason::expired
                                  : refusal_reason::wait_too_long});
            return true;
        });
}

std::optional<waiting_call> take_next(gate_state& state, steady_time now)
{
    for (auto& call : state.queue_)
    {
        call.late_ = would_be_late(state, call.call_, now);
    }
    auto best = next_of(state, now, true);
    if (best != state.queue_.end() &&
        !has_room(state.link_, body_bytes(state.link_, best->call_)))
    {
        // Other bodies do not pass it, or a long one would wait for ever.
        best = next_of(state, now, false);
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
    // The first slot becomes free after a part of a running call's time.
    auto work = mean_time_of_running(state);
    for (const auto& other : state.queue_)
    {
        if (!has_better_claim(state, call, other))
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
    if (wait > std::min(max_wait, longest_wait(state, call.call_)) ||
        !ends_in_time(state, call.call_, wait, now) ||
        waits_too_long_for_late(state, call.call_, wait, now))
    {
        const bool by_link = wait > std::chrono::nanoseconds{0} &&
                             link_wait(state, call) >= wait;
        return by_link ? refusal_reason::link_full
                       : refusal_reason::wait_too_long;
    }
    if (!make_room(state, call, events))
    {
        return refusal_reason::queue_full;
    }
    state.queue_.push_back(call);
    state.queue_.back().give_up_at_ = give_up_time(state, call.call_, now);
    return std::nullopt;
}

} // namespace hemlockshelf
