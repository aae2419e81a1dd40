#include <cstdint>
#include <optional>

#include <rapidcheck.h>

#include "hemlockshelf/membership/upstream_announcement.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

/// Returns no number or a small one, so that numbers are often equal or 0.
std::optional<std::uint64_t> any_number()
{
    const auto number = *rc::gen::inRange<std::uint64_t>(0, 4);
    return *rc::gen::arbitrary<bool>() ? std::optional(number) : std::nullopt;
}

announcement_version any_version()
{
    return {
        *rc::gen::element<std::string>("", "i-1", "i-2"), any_number(),
        any_number()};
}

} // namespace

// Guards against a number that stands for "none", by which one announcement
// passes for newer than another that is newer than it.
Test(announcement_order, none_of_two_is_newer_both_ways)
{
    cr_assert(rc::check(
        []
        {
            const auto left = any_version();
            const auto right = any_version();
            RC_ASSERT(!is_newer(left, left));
            RC_ASSERT(!(is_newer(left, right) && is_newer(right, left)));
            RC_ASSERT(
                is_ordered_by_arrival(left, right) ==
                is_ordered_by_arrival(right, left));
            RC_ASSERT(
                !is_ordered_by_arrival(left, right) ||
                (!is_newer(left, right) && !is_newer(right, left)));
        }));
}

// Guards against announcements of one start of which neither counts as newer,
// or that are newer in a circle.
Test(announcement_order, the_announcements_of_a_start_are_ordered)
{
    cr_assert(rc::check(
        []
        {
            const auto first = any_version();
            auto second = first;
            second.sequence_ = any_number();
            auto third = first;
            third.sequence_ = any_number();
            RC_ASSERT(
                first == second || is_newer(first, second) ||
                is_newer(second, first));
            RC_ASSERT(
                !is_newer(first, second) || !is_newer(second, third) ||
                is_newer(first, third));
        }));
}

// Guards against a first announcement, with the number 0, that is the newest of
// its start.
Test(announcement_order, a_number_that_is_0_is_the_lowest)
{
    const announcement_version first{"i-1", 1000, 0};
    const announcement_version second{"i-1", 1000, 1};
    cr_assert(is_newer(first, second));
    cr_assert(!is_newer(second, first));
    cr_assert(!is_newer(first, first));
    const announcement_version epoch{"i-1", 0, 1};
    cr_assert(is_newer(epoch, first) && !is_newer(first, epoch));
}
