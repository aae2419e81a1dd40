#include "hemlockshelf/core/token_bucket.hpp"

#include <algorithm>
#include <chrono>

namespace hemlockshelf {

namespace {

constexpr std::chrono::hours max_wait{1};

double
available_tokens(const token_bucket& bucket, token_rate rate, steady_time now)
{
    const std::chrono::duration<double> passed = now - bucket.refilled_at_;
    const double accrued = std::max(0.0, passed.count()) * rate.per_second_;
    return std::min(rate.burst_, bucket.tokens_ + accrued);
}

} // namespace

void refill(token_bucket& bucket, token_rate rate, steady_time now)
{
    bucket.tokens_ = available_tokens(bucket, rate, now);
    bucket.refilled_at_ = std::max(bucket.refilled_at_, now);
}

bool try_take(token_bucket& bucket, token_rate rate, steady_time now)
{
    refill(bucket, rate, now);
    if (bucket.tokens_ < 1)
    {
        return false;
    }
    bucket.tokens_ -= 1;
    return true;
}

steady_time
next_token_at(const token_bucket& bucket, token_rate rate, steady_time now)
{
    const double missing = 1 - available_tokens(bucket, rate, now);
    if (missing <= 0)
    {
        return now;
    }
    const std::chrono::duration<double> longest = max_wait;
    const std::chrono::duration<double> wait{
        rate.per_second_ > 0 ? missing / rate.per_second_ : longest.count()};
    return now +
           std::chrono::ceil<steady_time::duration>(std::min(wait, longest));
}

} // namespace hemlockshelf
