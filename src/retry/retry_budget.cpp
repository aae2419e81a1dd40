#include "hemlockshelf/retry/retry_budget.hpp"

#include <algorithm>

namespace hemlockshelf {

namespace {

// The floor refills only up to its own burst, so that a service with many
// requests is limited by its ratio.
void refill_floor(
    token_bucket& bucket, const retry_settings& settings, steady_time now)
{
    const token_rate floor{settings.floor_per_second_, settings.floor_burst_};
    if (bucket.tokens_ < floor.burst_)
    {
        refill(bucket, floor, now);
    }
    bucket.refilled_at_ = std::max(bucket.refilled_at_, now);
}

} // namespace

void earn_retry(
    retry_budget& budget, const retry_settings& settings, steady_time now)
{
    auto& bucket = budget.bucket_;
    refill_floor(bucket, settings, now);
    const auto max_tokens = std::max(bucket.tokens_, settings.budget_burst_);
    bucket.tokens_ =
        std::min(max_tokens, bucket.tokens_ + settings.budget_ratio_);
}

bool spend_retry(
    retry_budget& budget, const retry_settings& settings, steady_time now)
{
    refill_floor(budget.bucket_, settings, now);
    if (budget.bucket_.tokens_ < 1)
    {
        return false;
    }
    budget.bucket_.tokens_ -= 1;
    return true;
}

} // namespace hemlockshelf
