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

constexpr milliseconds min_warm_up{10'000};

vm_id make_vm(std::size_t index)
{
    return vm_id{"vm-" + std::to_string(index)};
}

} // namespace

// Guards against a burst of record pushes when all upstreams of a failure
// domain of the target size started together. With an even spread, each
// interval of a hundred milliseconds contains one in fifty of them.
Test(warm_up, the_ends_of_a_failure_domain_are_spread)
{
    constexpr std::size_t nodes = 1143;
    constexpr std::size_t max_per_interval = 2 * nodes / 50;
    std::array<std::size_t, 51> end_counts{};
    for (std::size_t index = 0; index < nodes; ++index)
    {
        const auto added =
            jittered_warm_up_time(min_warm_up, make_vm(index)) - min_warm_up;
        ++end_counts.at(static_cast<std::size_t>(added.count() / 100));
    }
    cr_assert_leq(*std::ranges::max_element(end_counts), max_per_interval);
}

// Guards against an upstream that is reported as ready before it is warm, or
// much later.
Test(warm_up, stays_within_its_limits)
{
    for (std::size_t index = 0; index < 1000; ++index)
    {
        const auto time = jittered_warm_up_time(min_warm_up, make_vm(index));
        cr_assert(time >= min_warm_up);
        cr_assert(time <= min_warm_up * 3 / 2);
    }
    cr_assert(
        jittered_warm_up_time(milliseconds{0}, make_vm(1)) == milliseconds{0});
}
