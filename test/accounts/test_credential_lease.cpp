#include "hemlockshelf/accounts/credential_lease.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

constexpr boot_time start{1000s};

credential_lease lease_of_5s()
{
    return credential_lease(account_settings{5000ms});
}

} // namespace

// Guards against a restarted node that accepts keys before it has asked whether
// they are still valid.
Test(credential_lease, starts_invalid)
{
    const auto lease = lease_of_5s();
    cr_assert(!lease.is_valid(start));
    cr_assert(!lease.age(start));
}

// Guards against a node that is cut off or paused and accepts a withdrawn key
// later than the limit.
Test(credential_lease, ends_before_the_limit)
{
    auto lease = lease_of_5s();
    lease.confirm(start);
    cr_assert(lease.is_valid(start + 3999ms));
    cr_assert(!lease.is_valid(start + 4000ms));
    cr_assert(!lease.is_valid(start + 1h));
}

// Guards against a late answer to an older question that shortens or extends
// the lease.
Test(credential_lease, ignores_older_confirmations)
{
    auto lease = lease_of_5s();
    lease.confirm(start + 2s);
    lease.confirm(start);
    cr_assert(lease.age(start + 3s) == 1s);
    cr_assert(lease.is_valid(start + 5999ms));
}

// Guards against deployments without a limit that refuse callers.
Test(credential_lease, is_always_valid_without_a_limit)
{
    const credential_lease lease(account_settings{});
    cr_assert(lease.is_valid(start));
    cr_assert(!lease.is_limited());
}
