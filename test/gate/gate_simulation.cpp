#include "test/gate/gate_simulation.hpp"

#include <algorithm>
#include <random>

namespace hemlockshelf {

namespace {

steady_time::duration to_duration(double seconds)
{
    return std::chrono::duration_cast<steady_time::duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

gate_simulation::gate_simulation(
    std::uint32_t slots,
    std::chrono::milliseconds mean_service_time,
    const gate_settings& settings)
    : gate_(settings), mean_service_time_(mean_service_time)
{
    set_capacity(gate_, slot_count{slots}, connection_count{slots * 5}, now_);
}

std::vector<source_result> gate_simulation::run(
    const std::vector<call_source>& sources, std::chrono::seconds length)
{
    results_.assign(sources.size(), {});
    for (std::size_t index = 0; index < sources.size(); ++index)
    {
        plan_arrival(index, sources[index], now_ + length);
    }
    while (!events_.empty())
    {
        const auto timer = next_expiry(gate_);
        if (timer && *timer < events_.top().at_)
        {
            now_ = std::max(now_, *timer);
            take(expire_waiting(gate_, now_));
            continue;
        }
        const auto next = events_.top();
        events_.pop();
        now_ = next.at_;
        next.run_();
    }
    return results_;
}

double gate_simulation::exponential(double mean)
{
    return std::exponential_distribution<>(1 / mean)(random_);
}

void gate_simulation::plan_arrival(
    std::size_t index, const call_source& source, steady_time end)
{
    const auto at = now_ + to_duration(exponential(1 / source.per_second_));
    if (at >= end)
    {
        return;
    }
    events_.push(
        {at, [this, index, &source, end]
         {
             arrive(index, source);
             plan_arrival(index, source, end);
         }});
}

void gate_simulation::arrive(std::size_t index, const call_source& source)
{
    ++results_[index].offered_;
    results_[index].longest_link_wait_ =
        std::max(results_[index].longest_link_wait_, link_wait());
    gate_call call{
        client_account_id{source.account_}, vm_id{source.entry_}, source.class_,
        now_ + source.deadline_};
    call.awaits_body_ = source.body_bytes_ > 0;
    call.body_ = byte_count{source.body_bytes_};
    const auto result = offer_call(gate_, call, now_);
    take(result.events_);
    if (result.admission_ == admission::refused)
    {
        ++results_[index].refused_;
        return;
    }
    pending_[result.id_] = {index, now_, call.deadline_, source.body_bytes_};
    if (result.admission_ == admission::admitted)
    {
        begin(result.id_);
    }
}

void gate_simulation::begin(gate_call_id id)
{
    const auto& call = pending_.at(id);
    auto& result = results_[call.source_];
    result.longest_start_ =
        std::max(result.longest_start_, now_ - call.arrived_at_);
    if (call.body_bytes_ == 0 || link_.value() == 0)
    {
        begin_work(id);
        return;
    }
    move_bodies();
    const auto part = std::min(call.body_bytes_, body_progress_step);
    transfers_.push_back(
        {id, static_cast<double>(call.body_bytes_), static_cast<double>(part)});
    plan_body();
}

std::chrono::nanoseconds gate_simulation::link_wait()
{
    if (link_.value() == 0)
    {
        return std::chrono::nanoseconds{0};
    }
    constexpr double bits_per_byte = 8;
    constexpr double window_bytes = 64 * 1024;
    move_bodies();
    double bytes = 0;
    for (const auto& moving : transfers_)
    {
        bytes += std::clamp(moving.bytes_left_, 0.0, window_bytes);
    }
    return to_duration(
        bytes * bits_per_byte / static_cast<double>(link_.value()));
}

void gate_simulation::move_bodies()
{
    constexpr double bits_per_byte = 8;
    const std::chrono::duration<double> passed = now_ - moved_at_;
    moved_at_ = now_;
    const double rate = static_cast<double>(link_.value()) / bits_per_byte /
                        std::max<double>(1, transfers_.size());
    for (auto& moving : transfers_)
    {
        moving.bytes_left_ -= passed.count() * rate;
        moving.part_left_ -= passed.count() * rate;
    }
}

void gate_simulation::plan_body()
{
    if (transfers_.empty())
    {
        return;
    }
    constexpr double bits_per_byte = 8;
    const auto next =
        std::ranges::min_element(transfers_, {}, &transfer::part_left_);
    const double seconds = std::max(next->part_left_, 0.0) *
                           static_cast<double>(transfers_.size()) *
                           bits_per_byte / static_cast<double>(link_.value());
    events_.push(
        {now_ + to_duration(seconds), [this, plan = ++plan_, id = next->id_]
         {
             if (plan != plan_)
             {
                 return;
             }
             move_bodies();
             arrive_part(id);
             plan_body();
         }});
}

void gate_simulation::arrive_part(gate_call_id id)
{
    const auto moving = std::ranges::find(transfers_, id, &transfer::id_);
    // The times of events are whole nanoseconds.
    constexpr double least_bytes = 1;
    if (moving->bytes_left_ >= least_bytes)
    {
        moving->part_left_ = std::min(
            moving->bytes_left_, static_cast<double>(body_progress_step));
        take(record_body_progress(
            gate_, id, byte_count{body_progress_step}, now_));
        return;
    }
    transfers_.erase(moving);
    const byte_count bytes{pending_.at(id).body_bytes_};
    begin_work(id);
    take(record_body_arrival(gate_, id, bytes, now_));
}

void gate_simulation::begin_work(gate_call_id id)
{
    const std::chrono::duration<double> mean = mean_service_time_;
    events_.push(
        {now_ + to_duration(exponential(mean.count())), [this, id]
         {
             end(id);
         }});
}

void gate_simulation::end(gate_call_id id)
{
    const auto call = pending_.at(id);
    pending_.erase(id);
    auto& result = results_[call.source_];
    ++(now_ <= call.deadline_ ? result.done_in_time_ : result.done_late_);
    take(*release_call(gate_, id, now_));
}

void gate_simulation::take(const gate_events& events)
{
    for (const auto& refused : events.refused_)
    {
        ++results_[pending_.at(refused.id_).source_].refused_;
        pending_.erase(refused.id_);
    }
    for (const auto id : events.started_)
    {
        begin(id);
    }
}

} // namespace hemlockshelf
