#ifndef HEMLOCKSHELF_RETRY_RETRY_BUDGET_HPP
#define HEMLOCKSHELF_RETRY_RETRY_BUDGET_HPP

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/token_bucket.hpp"
#include "hemlockshelf/retry/retry_settings.hpp"

namespace hemlockshelf {

/// Token bucket that limits the retries of a service. In any period, at most
/// `budget_burst_ + budget_ratio_ * requests + floor_per_second_ * seconds`
/// retries are granted.
struct retry_budget
{
    token_bucket bucket_;
};

/// Credits a request (not a retry) with a fraction of a retry.
void earn_retry(
    retry_budget& budget, const retry_settings& settings, steady_time now);

/// Takes one retry from the budget; returns false if none is left.
bool spend_retry(
    retry_budget& budget, const retry_settings& settings, steady_time now);

} // namespace hemlockshelf

#endif
