#include "hemlockshelf/dissemination/snapshot_limiter.hpp"

#include <algorithm>
#include <cstdint>

namespace hemlockshelf {

namespace {

constexpr std::chrono::milliseconds longest_retry{5000};

} // namespace

snapshot_limiter::snapshot_limiter(const dissemination_settings& settings)
    : limit_(settings.snapshots_at_once_), period_(settings.snapshot_period_),
      retry_after_(settings.busy_retry_after_)
{}

std::optional<std::chrono::milliseconds>
snapshot_limiter::admit_or_delay(steady_time now)
{
    if (now - period_start_ >= period_)
    {
        period_start_ = now;
        served_ = 0;
        refused_ = 0;
    }
    if (served_ < limit_)
    {
        ++served_;
        return std::nullopt;
    }
    ++refused_;
    const auto turns = static_cast<std::int64_t>(
        1 + refused_ / std::max<std::size_t>(limit_, 1));
    return std::min(longest_retry, retry_after_ * turns);
}

} // namespace hemlockshelf
