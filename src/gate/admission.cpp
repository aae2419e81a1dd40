#include "hemlockshelf/gate/admission.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hemlockshelf {

namespace {

std::size_t class_index(const gate_call& call)
{
    return static_cast<std::size_t>(call.class_);
}

waiting_call make_waiting(gate_state& state, const gate_call& call)
{
    return {
        gate_call_id{state.next_id_++}, call,
        state.account_usage_.share_of(call.account_.value()),
        state.entry_usage_.share_of(call.entry_vm_.value())};
}

void charge(
    gate_state& state,
    const running_call& call,
    std::chrono::nanoseconds slot_time,
    steady_time now)
{
    state.account_usage_.charge(call.account_usage_, slot_time, now);
    state.entry_usage_.charge(call.entry_usage_, slot_time, now);
}

// The expected service time is charged at once; otherwise all calls of a burst
// would be judged by the use before the burst.
void start(gate_state& state, waiting_call waiting, steady_time now)
{
    running_call call{
        std::move(waiting.call_), now, std::move(waiting.account_usage_),
        std::move(waiting.entry_usage_), state.service_time_};
    charge(state, call, call.charged_, now);
    ++state.running_by_class_.at(class_index(call.call_));
    state.running_.emplace(waiting.id_, std::move(call));
}

void drop_expired(gate_state& state, gate_events& events, steady_time now)
{
    std::erase_if(
        state.queue_,
        [&](const waiting_call& call)
        {
            if (call.call_.deadline_ > now)
            {
                return false;
            }
            events.refused_.push_back({call.id_, refusal_reason::expired});
            return true;
        });
}

auto find_next(gate_state& state)
{
    auto best = state.queue_.end();
    for (auto call = state.queue_.begin(); call != state.queue_.end(); ++call)
    {
        if (may_start(state, call->call_.class_) &&
            (best == state.queue_.end() ||
             has_better_claim(state, *call, *best)))
        {
            best = call;
        }
    }
    return best;
}

void start_waiting(gate_state& state, gate_events& events, steady_time now)
{
    drop_expired(state, events, now);
    for (auto next = find_next(state); next != state.queue_.end();
         next = find_next(state))
    {
        auto call = std::move(*next);
        state.queue_.erase(next);
        events.started_.push_back(call.id_);
        start(state, std::move(call), now);
    }
}

std::chrono::nanoseconds
expected_wait(const gate_state& state, const waiting_call& call)
{
    const auto ahead = std::ranges::count_if(
        state.queue_,
        [&](const waiting_call& other)
        {
            return !has_better_claim(state, call, other);
        });
    const auto servers = std::max(class_limit(state, call.call_.class_), 1U);
    return state.service_time_ * (ahead + 1) / servers;
}

std::optional<refusal_reason>
check_arrival(const gate_state& state, const gate_call& call, steady_time now)
{
    if (state.draining_)
    {
        return refusal_reason::draining;
    }
    if (concurrency_limit(state) == 0)
    {
        return refusal_reason::no_capacity;
    }
    if (call.deadline_ <= now)
    {
        return refusal_reason::expired;
    }
    return std::nullopt;
}

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

admission_result enqueue(gate_state& state, waiting_call call, steady_time now)
{
    admission_result result;
    result.expected_wait_ = expected_wait(state, call);
    const auto end = now + result.expected_wait_ + state.service_time_;
    if (end > call.call_.deadline_ ||
        result.expected_wait_ > state.settings_.max_wait_)
    {
        result.reason_ = refusal_reason::wait_too_long;
        return result;
    }
    if (!make_room(state, call, result.events_))
    {
        result.reason_ = refusal_reason::queue_full;
        return result;
    }
    result.admission_ = admission::queued;
    result.id_ = call.id_;
    state.queue_.push_back(std::move(call));
    return result;
}

void learn_service_time(gate_state& state, std::chrono::nanoseconds measured)
{
    const double weight = state.settings_.service_time_weight_;
    const std::chrono::duration<double, std::nano> mean =
        state.service_time_ * (1 - weight) + measured * weight;
    state.service_time_ =
        std::chrono::duration_cast<std::chrono::nanoseconds>(mean);
}

} // namespace

admission_result
offer_call(gate_state& state, const gate_call& call, steady_time now)
{
    if (const auto reason = check_arrival(state, call, now))
    {
        admission_result refused;
        refused.reason_ = *reason;
        return refused;
    }
    // Waiting calls that could start have been started by the operation that
    // made room, so nobody of this class is overtaken here.
    auto waiting = make_waiting(state, call);
    if (!may_start(state, call.class_))
    {
        return enqueue(state, std::move(waiting), now);
    }
    admission_result admitted;
    admitted.admission_ = admission::admitted;
    admitted.id_ = waiting.id_;
    start(state, std::move(waiting), now);
    return admitted;
}

std::optional<gate_events>
release_call(gate_state& state, gate_call_id id, steady_time now)
{
    const auto found = state.running_.find(id);
    if (found == state.running_.end())
    {
        return std::nullopt;
    }
    const auto call = std::move(found->second);
    state.running_.erase(found);
    --state.running_by_class_.at(class_index(call.call_));
    const auto measured = now - call.started_at_;
    charge(state, call, measured - call.charged_, now);
    learn_service_time(state, measured);
    gate_events events;
    start_waiting(state, events, now);
    return events;
}

bool cancel_waiting(gate_state& state, gate_call_id id)
{
    return std::erase_if(
               state.queue_,
               [id](const waiting_call& call)
               {
                   return call.id_ == id;
               }) > 0;
}

gate_events expire_waiting(gate_state& state, steady_time now)
{
    gate_events events;
    drop_expired(state, events, now);
    return events;
}

std::optional<steady_time> next_expiry(const gate_state& state)
{
    std::optional<steady_time> earliest;
    for (const auto& call : state.queue_)
    {
        const auto deadline = call.call_.deadline_;
        earliest = earliest ? std::min(*earliest, deadline) : deadline;
    }
    return earliest;
}

gate_events set_capacity(
    gate_state& state,
    slot_count slots,
    connection_count connections,
    steady_time now)
{
    state.slots_ = slots;
    state.connections_ = connections;
    gate_events events;
    start_waiting(state, events, now);
    return events;
}

gate_events begin_drain(gate_state& state)
{
    state.draining_ = true;
    gate_events events;
    for (const auto& call : state.queue_)
    {
        events.refused_.push_back({call.id_, refusal_reason::draining});
    }
    state.queue_.clear();
    return events;
}

void end_drain(gate_state& state)
{
    state.draining_ = false;
}

std::uint32_t free_slots(const gate_state& state)
{
    const auto limit = concurrency_limit(state);
    const auto used = state.running_.size() + state.queue_.size();
    return state.draining_ || used >= limit
               ? 0
               : limit - static_cast<std::uint32_t>(used);
}

} // namespace hemlockshelf
