#include "hemlockshelf/dissemination/repair_schedule.hpp"

#include <chrono>

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

// Guards against nodes that act in step, and against a repair that never
// comes.
Test(repair_schedule, jitter_stays_near_the_interval)
{
    cr_assert(rc::check(
        [](std::uint64_t random)
        {
            const steady_time now{1000s};
            const auto next = jittered(now, 1000ms, random);
            RC_ASSERT(next >= now + 750ms);
            RC_ASSERT(next < now + 1250ms);
        }));
}

// Guards against a repair that is due twice or is forgotten.
Test(repair_schedule, each_kind_is_due_once_per_interval)
{
    const dissemination_settings settings;
    repair_schedule schedule;
    steady_time now{1000s};
    const auto first = take_due_repairs(schedule, now, settings, 1);
    cr_assert(first.local_ && first.cross_);
    const auto again = take_due_repairs(schedule, now, settings, 2);
    cr_assert(!again.local_ && !again.cross_);
    now += 2 * settings.cross_domain_interval_;
    const auto later = take_due_repairs(schedule, now, settings, 3);
    cr_assert(later.local_ && later.cross_);
}

// Guards against a node that holds for seconds what its peers knew when it
// joined, and against one that keeps up the higher rate.
Test(repair_schedule, a_hastened_schedule_slows_down_to_the_usual_intervals)
{
    const dissemination_settings settings;
    steady_time now{1000s};
    repair_schedule schedule;
    take_due_repairs(schedule, now, settings, 1);
    shorten_intervals(schedule, now);
    std::size_t local_early = 0;
    std::size_t cross_early = 0;
    for (const auto end = now + 2s; now < end; now += 10ms)
    {
        const auto due = take_due_repairs(schedule, now, settings, 512);
        local_early += due.local_ ? 1 : 0;
        cross_early += due.cross_ ? 1 : 0;
    }
    cr_assert(local_early == 3 && cross_early == 3);
    now += 60s;
    for (int contact = 0; contact < 8; ++contact)
    {
        take_due_repairs(schedule, now, settings, 512);
        now += 60s;
    }
    take_due_repairs(schedule, now, settings, 512);
    cr_assert(
        schedule.next_local_ >= now + settings.repair_interval_ * 3 / 4 &&
        schedule.next_cross_ >= now + settings.cross_domain_interval_ * 3 / 4);
}
