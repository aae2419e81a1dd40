#include "hemlockshelf/retry/first_gate_wait_limit.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

// A round trip between the regions of the users' deployments.
constexpr auto region_round_trip = 40ms;

/// Returns when a call starts if the near gate has room after `near_wait` and
/// a gate of another region has room at once.
std::chrono::milliseconds
start_of(std::chrono::milliseconds target, std::chrono::milliseconds near_wait)
{
    return near_wait <= first_gate_wait_limit(target) ? near_wait
                                                      : region_round_trip;
}

} // namespace

// The pattern: lookups with a target of 120 ms at two busy upstreams, one of
// them in another region. Guards against lookups that leave a gate which would
// have run them sooner than the round trip takes.
Test(first_wait, is_no_shorter_than_the_way_to_another_region)
{
    for (auto wait = 0ms; wait < region_round_trip; wait += 1ms)
    {
        cr_assert_eq(start_of(120ms, wait).count(), wait.count());
    }
}

// Guards against a first wait that leaves no time to ask another gate.
Test(first_wait, leaves_half_of_the_target)
{
    for (const auto target : {0ms, 1ms, 60ms, 120ms, 400ms, 3000ms})
    {
        cr_assert(2 * first_gate_wait_limit(target) <= target);
        cr_assert(first_gate_wait_limit(target) <= 50ms);
    }
}
