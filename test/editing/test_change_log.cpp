#include "hemlockshelf/editing/change_log.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

config_delta delta_to(std::uint64_t number)
{
    return {revision{number}, {}, {}};
}

} // namespace

// Guards against a peer that receives deltas with a gap or out of order.
Test(change_log, deltas_after_a_revision_come_in_order)
{
    change_log log(3);
    for (std::uint64_t number = 1; number <= 5; ++number)
    {
        log.append(delta_to(number));
    }
    const auto all = log.deltas_after(revision{2});
    cr_assert(all->size() == 3);
    cr_assert(all->front()->to_ == revision{3});
    cr_assert(log.deltas_after(revision{2}, 2)->back()->to_ == revision{4});
    cr_assert(log.deltas_after(revision{4})->size() == 1);
    cr_assert(log.deltas_after(revision{5})->empty());
    cr_assert(log.deltas_after(revision{9})->empty());
}

// Guards against a peer that is reported as up to date although it is behind.
Test(change_log, a_peer_that_is_too_far_behind_is_told_so)
{
    change_log log(3);
    for (std::uint64_t number = 1; number <= 5; ++number)
    {
        log.append(delta_to(number));
    }
    cr_assert(
        log.deltas_after(revision{1}).error().kind_ ==
        error_kind::revision_gap);
    change_log restarted;
    restarted.reset(revision{10});
    cr_assert(
        restarted.deltas_after(revision{9}).error().kind_ ==
        error_kind::revision_gap);
    cr_assert(restarted.deltas_after(revision{10})->empty());
}

// Guards against a log that keeps deltas on both sides of a gap.
Test(change_log, the_log_starts_anew_after_a_gap)
{
    change_log log;
    log.append(delta_to(1));
    log.append(delta_to(5));
    log.append(delta_to(3));
    cr_assert(log.newest() == revision{5});
    cr_assert(
        log.deltas_after(revision{1}).error().kind_ ==
        error_kind::revision_gap);
    cr_assert(log.deltas_after(revision{4})->size() == 1);
}
