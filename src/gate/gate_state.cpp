#include "hemlockshelf/gate/gate_state.hpp"

#include <algorithm>
#include <cmath>

namespace hemlockshelf {

namespace {

// Returns the slots that `share` of `whole` amounts to, at least 1 unless
// `whole` is 0.
std::uint32_t slots_for_share(std::uint32_t whole, double share)
{
    const auto part = static_cast<std::uint32_t>(std::floor(whole * share));
    return std::clamp(part, std::min(whole, 1U), whole);
}

std::uint32_t running_count(const gate_state& state, traffic_class value)
{
    return state.running_by_class_.at(static_cast<std::size_t>(value));
}

std::uint32_t lookup_reserve(const gate_state& state)
{
    const auto limit = concurrency_limit(state);
    const double reserve = state.settings_.lookup_reserve_;
    return limit > 1 && reserve > 0 ? slots_for_share(limit, reserve) : 0;
}

// A reserve of less than one slot is implemented by one slot that other classes
// may use after it has been free for this time. Once all slots are in use, the
// next one becomes free after the service time divided by the number of slots,
// so that one slot is free for the configured fraction of the time.
std::optional<std::chrono::nanoseconds>
reserve_hold_time(const gate_state& state)
{
    const auto limit = concurrency_limit(state);
    const double reserve = limit * state.settings_.lookup_reserve_;
    if (reserve >= 1 || lookup_reserve(state) == 0)
    {
        return std::nullopt;
    }
    const auto until_free =
        service_time(state, traffic_class::standard) / limit;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        until_free * (reserve / (1 - reserve)));
}

// Returns the precedence of a class; lower ranks start first. The first bulk
// call has the rank of standard calls, so that bulk is limited but never
// starved.
int class_rank(const gate_state& state, traffic_class value)
{
    if (value == traffic_class::standard)
    {
        return 1;
    }
    if (value == traffic_class::bulk)
    {
        return running_count(state, value) == 0 ? 1 : 2;
    }
    const double preferred =
        concurrency_limit(state) * state.settings_.lookup_priority_share_;
    return running_count(state, value) < preferred ? 0 : 1;
}

} // namespace

gate_state::gate_state(const gate_settings& settings)
    : settings_(settings), link_(settings),
      account_usage_(settings.usage_half_life_, settings.usage_limit_),
      entry_usage_(settings.usage_half_life_, settings.usage_limit_),
      service_time_()
{
    service_time_.fill(settings.assumed_service_time_);
}

std::chrono::nanoseconds
service_time(const gate_state& state, traffic_class value)
{
    return state.service_time_.at(static_cast<std::size_t>(value));
}

std::chrono::nanoseconds
service_time(const gate_state& state, const gate_call& call)
{
    const auto found = state.service_time_by_kind_.find(work_kind_of(call));
    return found == state.service_time_by_kind_.end()
               ? service_time(state, call.class_)
               : found->second;
}

std::uint32_t concurrency_limit(const gate_state& state)
{
    return std::min(state.slots_.value(), state.connections_.value());
}

std::uint32_t class_limit(const gate_state& state, traffic_class value)
{
    const auto limit = concurrency_limit(state);
    if (value == traffic_class::lookup)
    {
        return limit;
    }
    const auto shared = limit - lookup_reserve(state);
    return value == traffic_class::standard
               ? shared
               : std::min(
                     shared,
                     slots_for_share(limit, state.settings_.bulk_share_));
}

std::optional<steady_time> reserve_available_at(const gate_state& state)
{
    const auto hold = reserve_hold_time(state);
    return hold ? std::optional(state.slot_free_since_ + *hold) : std::nullopt;
}

bool may_start(const gate_state& state, traffic_class value, steady_time now)
{
    const bool bulk_used_up =
        value == traffic_class::bulk &&
        running_count(state, value) >= class_limit(state, value);
    if (state.running_.size() >= concurrency_limit(state) || bulk_used_up)
    {
        return false;
    }
    const auto others = running_count(state, traffic_class::standard) +
                        running_count(state, traffic_class::bulk);
    if (value == traffic_class::lookup ||
        others < class_limit(state, traffic_class::standard))
    {
        return true;
    }
    const auto available_at = reserve_available_at(state);
    return available_at && *available_at <= now;
}

std::chrono::nanoseconds
link_wait(const gate_state& state, const waiting_call& call)
{
    const auto bytes = body_bytes(state.link_, call.call_);
    if (bytes == 0)
    {
        return std::chrono::nanoseconds{0};
    }
    auto ahead = state.link_.granted_;
    for (const auto& other : state.queue_)
    {
        if (!has_precedence(state, call, other))
        {
            ahead += body_bytes(state.link_, other.call_);
        }
    }
    return transfer_time(state.link_, ahead);
}

std::size_t queue_limit(const gate_state& state)
{
    const auto by_slots = static_cast<std::size_t>(
        std::ceil(concurrency_limit(state) * state.settings_.queue_per_slot_));
    return std::min(by_slots, state.settings_.queue_limit_);
}

bool has_precedence(
    const gate_state& state,
    const waiting_call& left,
    const waiting_call& right)
{
    const auto left_rank = class_rank(state, left.call_.class_);
    const auto right_rank = class_rank(state, right.call_.class_);
    if (left_rank != right_rank)
    {
        return left_rank < right_rank;
    }
    if (left.call_.priority_ != right.call_.priority_)
    {
        return left.call_.priority_ < right.call_.priority_;
    }
    // Short work starts first, even if it is late: it holds a slot only
    // briefly, and the caller of a lookup holds a slot elsewhere while it
    // waits.
    if (left.call_.target_latency_ != right.call_.target_latency_)
    {
        return left.call_.target_latency_ < right.call_.target_latency_;
    }
    if (left.late_ != right.late_)
    {
        return right.late_;
    }
    if (*left.account_usage_ != *right.account_usage_)
    {
        return *left.account_usage_ < *right.account_usage_;
    }
    return *left.entry_usage_ < *right.entry_usage_;
}

} // namespace hemlockshelf
