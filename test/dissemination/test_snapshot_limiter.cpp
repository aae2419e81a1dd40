#include "hemlockshelf/dissemination/snapshot_limiter.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace hemlockshelf;

// Guards against snapshots for all at once, and against refused nodes that
// come back all at once.
Test(snapshot_limiter, bounds_a_period_and_spreads_the_rest)
{
    const dissemination_settings settings;
    snapshot_limiter limiter(settings);
    const steady_time now{std::chrono::seconds{1000}};
    for (std::size_t served = 0; served < settings.snapshots_at_once_; ++served)
    {
        cr_assert_not(limiter.admit_or_delay(now).has_value());
    }
    const auto first = limiter.admit_or_delay(now);
    cr_assert(first.has_value());
    std::optional<std::chrono::milliseconds> last;
    for (int refused = 0; refused < 10; ++refused)
    {
        last = limiter.admit_or_delay(now);
    }
    cr_assert(*last > *first);
    cr_assert_not(
        limiter.admit_or_delay(now + settings.snapshot_period_).has_value());
}
