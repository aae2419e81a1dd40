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
        service_time(state, call.class_) * state.settings_.service_margin_;
    return wait + service <= call.deadline_ - now;
}

std::chrono::nanoseconds mean_time_of_running(const gate_state& state)
{
    std::chrono::nanoseconds total{0};
    std::uint32_t count = 0;
    for (std::size_t index = 0; index < traffic_class_count; ++index)
    {
        total +=
            state.service_time_.at(index) * state.running_by_class_.at(index);
        count += state.running_by_class_.at(index);
    }
    return count > 0 ? total / count : total;
}

} // namespace

steady_time latest_start(const gate_state& state, const waiting_call& call)
{
    return call.call_.deadline_ - service_time(state, call.call_.class_);
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
    auto best = state.queue_.end();
    for (auto call = state.queue_.begin(); call != state.queue_.end(); ++call)
    {
        if (may_start(state, call->call_.class_, now) &&
            (best == state.queue_.end() ||
             has_better_claim(state, *call, *best)))
        {
            best = call;
        }
    }
    if (best == state.queue_.end())
    {
        return std::nullopt;
    }
    auto taken = std::move(*best);
    state.queue_.erase(best);
    return taken;
}

std::chrono::nanoseconds
expected_wait(const gate_state& state, const waiting_call& call)
{
    // The first slot becomes free after a part of a running call's time.
    auto work = mean_time_of_running(state);
    for (const auto& other : state.queue_)
    {
        if (!has_better_claim(state, call, other))
        {
            work += service_time(state, other.call_.class_);
        }
    }
    return work / std::max(class_limit(state, call.call_.class_), 1U);
}

std::optional<refusal_reason> enqueue(
    gate_state& state,
    const waiting_call& call,
    std::chrono::nanoseconds wait,
    gate_events& events,
    steady_time now)
{
    if (wait > state.settings_.max_wait_ ||
        !ends_in_time(state, call.call_, wait, now))
    {
        return refusal_reason::wait_too_long;
    }
    if (!make_room(state, call, events))
    {
        return refusal_reason::queue_full;
    }
    state.queue_.push_back(call);
    return std::nullopt;
}

} // namespace hemlockshelf
