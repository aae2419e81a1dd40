#include "hemlockshelf/membership/warm_up.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <string>

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds least{10'000};

vm_id vm_of(std::size_t index)
{
    return vm_id{"vm-" + std::to_string(index)};
}

} // namespace

// Guards against a wave of records when the upstreams of a failure domain of
// the target size started together. Spread evenly, a hundred milliseconds see
// one in fifty of them.
Test(warm_up, the_ends_of_a_failure_domain_are_spread)
{
    constexpr std::size_t nodes = 1143;
    constexpr std::size_t allowed = 2 * nodes / 50;
    std::array<std::size_t, 51> ends{};
    for (std::size_t index = 0; index < nodes; ++index)
    {
        const auto added = jittered_warm_up_time(least, vm_of(index)) - least;
        ++ends.at(static_cast<std::size_t>(added.count() / 100));
    }
    cr_assert_leq(*std::ranges::max_element(ends), allowed);
}

// Guards against an upstream that is reported as ready before it is warm, or
// long after.
Test(warm_up, stays_within_its_limits)
{
    for (std::size_t index = 0; index < 1000; ++index)
    {
        const auto time = jittered_warm_up_time(least, vm_of(index));
        cr_assert(time >= least);
        cr_assert(time <= least * 3 / 2);
    }
    cr_assert(
        jittered_warm_up_time(milliseconds{0}, vm_of(1)) == milliseconds{0});
}
