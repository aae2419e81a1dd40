#include "hemlockshelf/accounts/credential_lease.hpp"

namespace hemlockshelf {

namespace {

// The rest of the limit covers the time between the check of a request and its
// dispatch, and clocks that run at different rates.
constexpr double share_of_limit = 0.8;

} // namespace

credential_lease::credential_lease(const account_settings& settings)
    : duration_(std::chrono::duration_cast<std::chrono::nanoseconds>(
          share_of_limit * settings.revocation_limit_))
{}

void credential_lease::confirm(boot_time at)
{
    confirmed_.record(at);
}

bool credential_lease::is_valid(boot_time now) const
{
    if (!is_limited())
    {
        return true;
    }
    const auto elapsed = age(now);
    return elapsed && *elapsed < duration_;
}

std::optional<std::chrono::nanoseconds>
credential_lease::age(boot_time now) const
{
    return confirmed_.age(now);
}

} // namespace hemlockshelf
