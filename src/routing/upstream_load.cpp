#include "hemlockshelf/routing/upstream_load.hpp"

#include <algorithm>
#include <chrono>

namespace hemlockshelf {

double freshness(
    const upstream_load& load,
    const routing_settings& settings,
    steady_time now)
{
    if (!load.free_slots_)
    {
        return 0;
    }
    const std::chrono::duration<double> age = now - load.free_slots_at_;
    const std::chrono::duration<double> lifetime = settings.load_lifetime_;
    return std::clamp(1 - age / lifetime, 0.0, 1.0);
}

double estimated_free_slots(
    const upstream_load& load,
    slot_count slots,
    const routing_settings& settings,
    steady_time now)
{
    const double total = slots.value();
    const double unreported = std::max(0.0, total - load.in_progress_);
    if (!load.free_slots_)
    {
        return unreported;
    }
    const double reported = std::clamp(*load.free_slots_, 0.0, total);
    return unreported +
           (reported - unreported) * freshness(load, settings, now);
}

double warm_up_share(
    const upstream_load& load,
    bool warming,
    const routing_settings& settings,
    steady_time now)
{
    if (warming)
    {
        return settings.warm_up_start_;
    }
    if (!load.appeared_at_)
    {
        return 1;
    }
    const std::chrono::duration<double> age = now - *load.appeared_at_;
    const std::chrono::duration<double> whole = settings.warm_up_;
    return std::clamp(age / whole, settings.warm_up_start_, 1.0);
}

void record_call_started(upstream_load& load)
{
    ++load.in_progress_;
    if (load.free_slots_)
    {
        load.free_slots_ = std::max(0.0, *load.free_slots_ - 1);
    }
}

void record_call_ended(
    upstream_load& load, const call_report& report, steady_time now)
{
    load.in_progress_ -= load.in_progress_ > 0 ? 1 : 0;
    if (report.free_slots_)
    {
        load.free_slots_ = *report.free_slots_;
        load.free_slots_at_ = now;
    }
    else if (report.outcome_ == call_outcome::refused)
    {
        load.free_slots_ = 0;
        load.free_slots_at_ = now;
    }
    else if (load.free_slots_)
    {
        load.free_slots_ = *load.free_slots_ + 1;
    }
}

} // namespace hemlockshelf
