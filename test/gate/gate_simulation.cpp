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
        schedule_arrival(index, sources[index], now_ + length);
    }
    while (!events_.empty())
    {
        const auto timer = next_expiry(gate_);
        if (timer && *timer < events_.top().at_)
        {
            now_ = std::max(now_, *timer);
            apply_events(expire_waiting(gate_, now_));
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

void gate_simulation::schedule_arrival(
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
             offer(index, source);
             schedule_arrival(index, source, end);
         }});
}

void gate_simulation::offer(std::size_t index, const call_source& source)
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
    apply_events(result.events_);
    if (result.admission_ == admission::refused)
    {
        ++results_[index].refused_;
        return;
    }
    pending_[result.id_] = {index, now_, call.deadline_, source.body_bytes_};
    if (result.admission_ == admission::admitted)
    {
        start_call(result.id_);
    }
}

void gate_simulation::start_call(gate_call_id id)
{
    const auto& call = pending_.at(id);
    auto& result = results_[call.source_];
    result.longest_start_ =
        std::max(result.longest_start_, now_ - call.arrived_at_);
    if (call.body_bytes_ == 0 || link_.value() == 0)
    {
        start_work(id);
        return;
    }
    advance_transfers();
    const auto part = std::min(call.body_bytes_, body_progress_step);
    transfers_.push_back(
        {id, static_cast<double>(call.body_bytes_), static_cast<double>(part)});
    schedule_next_part();
}

std::chrono::nanoseconds gate_simulation::link_wait()
{
    if (link_.value() == 0)
    {
        return std::chrono::nanoseconds{0};
    }
    constexpr double bits_per_byte = 8;
    constexpr double window_bytes = 64 * 1024;
    advance_transfers();
    double bytes = 0;
    for (const auto& body : transfers_)
    {
        bytes += std::clamp(body.bytes_left_, 0.0, window_bytes);
    }
    return to_duration(
        bytes * bits_per_byte / static_cast<double>(link_.value()));
}

void gate_simulation::advance_transfers()
{
    constexpr double bits_per_byte = 8;
    const std::chrono::duration<double> elapsed = now_ - advanced_at_;
    advanced_at_ = now_;
    const double rate = static_cast<double>(link_.value()) / bits_per_byte /
                        std::max<double>(1, transfers_.size());
    for (auto& body : transfers_)
    {
        body.bytes_left_ -= elapsed.count() * rate;
        body.part_left_ -= elapsed.count() * rate;
    }
}

void gate_simulation::schedule_next_part()
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
        {now_ + to_duration(seconds),
         [this, generation = ++generation_, id = next->id_]
         {
             if (generation != generation_)
             {
                 return;
             }
             advance_transfers();
             deliver_part(id);
             schedule_next_part();
         }});
}

void gate_simulation::deliver_part(gate_call_id id)
{
    const auto body = std::ranges::find(transfers_, id, &transfer::id_);
    // Event times are rounded to whole nanoseconds.
    constexpr double min_bytes = 1;
    if (body->bytes_left_ >= min_bytes)
    {
        body->part_left_ = std::min(
            body->bytes_left_, static_cast<double>(body_progress_step));
        apply_events(record_body_progress(
            gate_, id, byte_count{body_progress_step}, now_));
        return;
    }
    transfers_.erase(body);
    const byte_count bytes{pending_.at(id).body_bytes_};
    start_work(id);
    apply_events(record_body_arrival(gate_, id, bytes, now_));
}

void gate_simulation::start_work(gate_call_id id)
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
    apply_events(*release_call(gate_, id, now_));
}

void gate_simulation::apply_events(const gate_events& events)
{
    for (const auto& refused : events.refused_)
    {
        ++results_[pending_.at(refused.id_).source_].refused_;
        pending_.erase(refused.id_);
    }
    for (const auto id : events.started_)
    {
        start_call(id);
    }
}

} // namespace hemlockshelf
