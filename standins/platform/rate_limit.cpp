#include "standins/platform/rate_limit.hpp"

#include <algorithm>
#include <chrono>

namespace hemlockshelf {

namespace {

constexpr double burst_seconds = 0.25;

} // namespace

rate_limit::rate_limit(double per_second)
    : per_second_(per_second), tokens_(per_second * burst_seconds)
{}

bool rate_limit::try_take(steady_time now)
{
    const std::lock_guard lock(mutex_);
    const std::chrono::duration<double> passed = now - refilled_at_;
    refilled_at_ = now;
    tokens_ = std::min(
        per_second_ * burst_seconds,
        tokens_ + (per_second_ * std::max(0.0, passed.count())));
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace hemlockshelf
