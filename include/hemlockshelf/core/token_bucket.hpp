#ifndef HEMLOCKSHELF_CORE_TOKEN_BUCKET_HPP
#define HEMLOCKSHELF_CORE_TOKEN_BUCKET_HPP

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// Rate limit: tokens per second and the capacity of the bucket.
struct token_rate
{
    double per_second_ = 0;
    double burst_ = 0;
};

/// State of a token bucket. A new bucket is full at its first use.
struct token_bucket
{
    double tokens_ = 0;
    steady_time refilled_at_{};
};

/// Adds the tokens that have accrued since the last refill.
void refill(token_bucket& bucket, token_rate rate, steady_time now);

/// Takes one token. Returns false if there is none.
bool try_take(token_bucket& bucket, token_rate rate, steady_time now);

/// Returns when the next token is available, `now` at the earliest and one hour
/// later at the latest. With a rate of 0 it is one hour later.
steady_time
next_token_at(const token_bucket& bucket, token_rate rate, steady_time now);

} // namespace hemlockshelf

#endif
