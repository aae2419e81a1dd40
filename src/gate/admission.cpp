#include "hemlockshelf/gate/admission.hpp"

#include <algorithm>
#include <utility>

#include "hemlockshelf/gate/waiting_queue.hpp"

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

// The arrival of a short body is not reported; its size is known before.
void learn_short_body(body_link& link, const gate_call& call)
{
    if (call.awaits_body_ && call.body_ && !reports_body_arrival(call))
    {
        learn_body(link, call, call.body_->value());
    }
}

// The expected service time is charged at once; otherwise all calls of a burst
// would be judged by the use before the burst.
void start(gate_state& state, waiting_call waiting, steady_time now)
{
    const auto expected = service_time(state, waiting.call_);
    const auto bytes = body_bytes(state.link_, waiting.call_);
    const bool long_body = has_long_body(waiting.call_);
    running_call call{
        std::move(waiting.call_),
        now,
        std::move(waiting.account_usage_),
        std::move(waiting.entry_usage_),
        expected,
        bytes,
        long_body,
        now + transfer_limit(state.link_, bytes)};
    state.link_.granted_ += bytes;
    state.long_bodies_ += call.long_body_ ? 1 : 0;
    learn_short_body(state.link_, call.call_);
    charge(state, call, call.charged_, now);
    ++state.running_by_class_.at(class_index(call.call_));
    state.running_.emplace(waiting.id_, std::move(call));
}

void give_back_link(gate_state& state, running_call& call)
{
    state.link_.granted_ -= std::exchange(call.granted_, 0);
}

// The body has arrived or the call ends.
void end_body(gate_state& state, running_call& call)
{
    give_back_link(state, call);
    state.long_bodies_ -= std::exchange(call.long_body_, false) ? 1 : 0;
}

// Takes the link back from bodies whose entries are slow to send them.
void reclaim_link(gate_state& state, steady_time now)
{
    if (state.link_.granted_ == 0)
    {
        return;
    }
    for (auto& entry : state.running_)
    {
        if (entry.second.body_due_at_ <= now)
        {
            give_back_link(state, entry.second);
        }
    }
}

std::optional<steady_time> next_overdue_body(const gate_state& state)
{
    std::optional<steady_time> next;
    if (state.link_.granted_ == 0)
    {
        return next;
    }
    for (const auto& [id, call] : state.running_)
    {
        if (call.granted_ > 0)
        {
            next =
                std::min(next.value_or(call.body_due_at_), call.body_due_at_);
        }
    }
    return next;
}

void start_waiting(gate_state& state, gate_events& events, steady_time now)
{
    drop_expired(state, events, now);
    reclaim_link(state, now);
    while (auto call = take_next(state, now))
    {
        events.started_.push_back(call->id_);
        start(state, std::move(*call), now);
    }
}

// A body does not pass those that wait with as good a claim.
bool link_is_open(const gate_state& state, const waiting_call& call)
{
    const auto bytes = body_bytes(state.link_, call.call_);
    if (bytes == 0)
    {
        return true;
    }
    return has_room(state.link_, bytes) &&
           std::ranges::none_of(
               state.queue_,
               [&](const waiting_call& other)
               {
                   return body_bytes(state.link_, other.call_) > 0 &&
                          !has_better_claim(state, call, other);
               });
}

// Returns the part of the longest wait that the bodies ahead leave.
double free_link_share(const gate_state& state)
{
    auto ahead = state.link_.granted_;
    for (const auto& call : state.queue_)
    {
        ahead += body_bytes(state.link_, call.call_);
    }
    const std::chrono::duration<double> wait =
        transfer_time(state.link_, ahead);
    const std::chrono::duration<double> longest = state.settings_.max_wait_;
    return std::clamp(1 - wait / longest, 0.0, 1.0);
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

void note_slot_free(gate_state& state, steady_time now)
{
    if (state.running_.size() >= concurrency_limit(state))
    {
        state.slot_free_since_ = now;
    }
}

void learn_service_time(
    gate_state& state, const gate_call& call, std::chrono::nanoseconds measured)
{
    auto& mean = state.service_time_.at(class_index(call));
    auto& own = state.service_time_by_kind_.try_emplace(kind_of(call), measured)
                    .first->second;
    for (auto* value : {&mean, &own})
    {
        *value += std::chrono::duration_cast<std::chrono::nanoseconds>(
            (measured - *value) * state.settings_.service_time_weight_);
    }
    // Kinds come with routes, of which an operator may change many.
    constexpr std::size_t max_kinds = 256;
    if (state.service_time_by_kind_.size() > max_kinds)
    {
        state.service_time_by_kind_.clear();
    }
}

} // namespace

admission_result
offer_call(gate_state& state, const gate_call& call, steady_time now)
{
    admission_result result;
    if (const auto reason = check_arrival(state, call, now))
    {
        result.reason_ = *reason;
        return result;
    }
    // The waiting calls go first, so that none is overtaken.
    start_waiting(state, result.events_, now);
    auto waiting = make_waiting(state, call);
    result.id_ = waiting.id_;
    if (may_start(state, call.class_, now) && link_is_open(state, waiting))
    {
        result.admission_ = admission::admitted;
        start(state, std::move(waiting), now);
        return result;
    }
    result.expected_wait_ = expected_wait(state, waiting, now);
    const auto refusal =
        enqueue(state, waiting, result.expected_wait_, result.events_, now);
    result.admission_ = refusal ? admission::refused : admission::queued;
    result.reason_ = refusal.value_or(result.reason_);
    return result;
}

std::optional<gate_events>
release_call(gate_state& state, gate_call_id id, steady_time now)
{
    const auto found = state.running_.find(id);
    if (found == state.running_.end())
    {
        return std::nullopt;
    }
    end_body(state, found->second);
    const auto call = std::move(found->second);
    note_slot_free(state, now);
    state.running_.erase(found);
    --state.running_by_class_.at(class_index(call.call_));
    const auto measured = now - call.started_at_;
    charge(state, call, measured - call.charged_, now);
    learn_service_time(state, call.call_, measured);
    gate_events events;
    start_waiting(state, events, now);
    return events;
}

gate_events record_body_progress(
    gate_state& state, gate_call_id id, byte_count bytes, steady_time now)
{
    gate_events events;
    const auto found = state.running_.find(id);
    if (found == state.running_.end() || found->second.granted_ == 0)
    {
        return events;
    }
    auto& call = found->second;
    // A body of unknown size may be longer than was granted.
    const auto rest =
        call.call_.body_ ? 0 : std::min(body_progress_step, call.granted_);
    const auto arrived = std::min(bytes.value(), call.granted_ - rest);
    call.granted_ -= arrived;
    state.link_.granted_ -= arrived;
    start_waiting(state, events, now);
    return events;
}

gate_events record_body_arrival(
    gate_state& state, gate_call_id id, byte_count bytes, steady_time now)
{
    gate_events events;
    const auto found = state.running_.find(id);
    if (found == state.running_.end())
    {
        return events;
    }
    learn_body(state.link_, found->second.call_, bytes.value());
    end_body(state, found->second);
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
    start_waiting(state, events, now);
    return events;
}

std::optional<steady_time> next_expiry(const gate_state& state)
{
    auto next = next_overdue_body(state);
    const auto lent_at = reserve_lent_at(state);
    for (const auto& call : state.queue_)
    {
        const bool may_borrow =
            lent_at && may_start(state, call.call_.class_, *lent_at) &&
            has_room(state.link_, body_bytes(state.link_, call.call_));
        const auto latest = latest_start(state, call);
        const auto at = may_borrow ? std::min(*lent_at, latest) : latest;
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

gate_events set_capacity(
    gate_state& state,
    slot_count slots,
    connection_count connections,
    steady_time now)
{
    note_slot_free(state, now);
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
    if (state.draining_ || used >= limit)
    {
        return 0;
    }
    const auto free = limit - static_cast<std::uint32_t>(used);
    return std::max(
        1U, static_cast<std::uint32_t>(free * free_link_share(state)));
}

} // namespace hemlockshelf
