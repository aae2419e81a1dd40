#include "hemlockshelf/routing/ejection.hpp"

#include <algorithm>
#include <chrono>

namespace hemlockshelf {

namespace {

constexpr std::uint32_t max_doublings = 16;

std::chrono::milliseconds
ejection_time(std::uint32_t ejections, const routing_settings& settings)
{
    const auto doublings = std::min(ejections, max_doublings);
    return std::min(
        settings.ejection_time_ * (1U << doublings),
        settings.ejection_time_max_);
}

void clear_failures(upstream_load& load)
{
    load.failures_in_row_ = 0;
    load.recorded_calls_ = 0;
    load.failure_share_ = 0;
    load.probes_passed_ = 0;
}

void restore(upstream_load& load)
{
    load.ejection_ = ejection_state::in_use;
    clear_failures(load);
}

void eject(
    upstream_load& load, const routing_settings& settings, steady_time now)
{
    load.ejection_ = ejection_state::ejected;
    load.ejected_until_ = now + ejection_time(load.ejections_, settings);
    ++load.ejections_;
    clear_failures(load);
}

bool fails_too_often(
    const upstream_load& load, const routing_settings& settings)
{
    return load.failures_in_row_ >= settings.failures_to_eject_ ||
           (load.recorded_calls_ >= settings.calls_to_judge_ &&
            load.failure_share_ > settings.failure_share_to_eject_);
}

void update_failure_counts(
    upstream_load& load,
    bool failed,
    const routing_settings& settings,
    steady_time now)
{
    if (now - load.last_failure_at_ > settings.ejection_memory_)
    {
        load.ejections_ = 0;
    }
    load.failures_in_row_ = failed ? load.failures_in_row_ + 1 : 0;
    load.last_failure_at_ = failed ? now : load.last_failure_at_;
    ++load.recorded_calls_;
    load.failure_share_ +=
        settings.failure_weight_ * ((failed ? 1 : 0) - load.failure_share_);
}

void record_probe_outcome(
    upstream_load& load,
    bool failed,
    const routing_settings& settings,
    steady_time now)
{
    if (failed)
    {
        eject(load, settings, now);
        return;
    }
    if (++load.probes_passed_ >= settings.probes_to_recover_)
    {
        restore(load);
    }
}

} // namespace

std::size_t
ejection_limit(std::size_t pool_size, const routing_settings& settings)
{
    // The small addend makes a third of 3 yield 1 despite rounding errors.
    const double limit =
        static_cast<double>(pool_size) * settings.ejection_limit_ + 1e-9;
    return static_cast<std::size_t>(limit);
}

std::size_t count_ejected(std::span<const upstream_load> pool)
{
    const auto count = std::ranges::count_if(
        pool,
        [](const upstream_load& load)
        {
            return load.ejection_ != ejection_state::in_use;
        });
    return static_cast<std::size_t>(count);
}

void end_ejections(std::span<upstream_load> pool, steady_time now)
{
    for (auto& load : pool)
    {
        if (load.ejection_ == ejection_state::ejected &&
            load.ejected_until_ <= now)
        {
            load.ejection_ = ejection_state::probing;
            load.probes_passed_ = 0;
        }
    }
}

void enforce_ejection_limit(
    std::span<upstream_load> pool, const routing_settings& settings)
{
    const auto limit = ejection_limit(pool.size(), settings);
    for (auto count = count_ejected(pool); count > limit; --count)
    {
        upstream_load* first = nullptr;
        for (auto& load : pool)
        {
            if (load.ejection_ != ejection_state::in_use &&
                (first == nullptr ||
                 load.ejected_until_ < first->ejected_until_))
            {
                first = &load;
            }
        }
        restore(*first);
    }
}

void record_outcome(
    std::span<upstream_load> pool,
    std::size_t index,
    call_outcome outcome,
    const routing_settings& settings,
    steady_time now)
{
    auto& load = pool[index];
    if (outcome == call_outcome::cancelled || outcome == call_outcome::refused)
    {
        return;
    }
    const bool failed = outcome == call_outcome::failed;
    update_failure_counts(load, failed, settings, now);
    if (load.ejection_ == ejection_state::probing)
    {
        record_probe_outcome(load, failed, settings, now);
        return;
    }
    if (load.ejection_ == ejection_state::in_use &&
        fails_too_often(load, settings) &&
        count_ejected(pool) < ejection_limit(pool.size(), settings))
    {
        eject(load, settings, now);
    }
}

} // namespace hemlockshelf
