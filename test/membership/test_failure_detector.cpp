#include "hemlockshelf/membership/failure_detector.hpp"

#include <algorithm>
#include <map>
#include <string>

#include <fmt/format.h>
#include <rapidcheck.h>

#include "hemlockshelf/membership/domain_reachability.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

std::vector<vm_id> make_members(int count)
{
    std::vector<vm_id> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
    {
        members.emplace_back(fmt::format("vm-{}", index));
    }
    return members;
}

} // namespace

// Guards against a member that nobody watches.
Test(failure_detector, every_member_is_watched_by_as_many_as_it_watches)
{
    cr_assert(rc::check(
        []
        {
            const auto members = make_members(*rc::gen::inRange(2, 60));
            const auto count = *rc::gen::inRange<std::size_t>(1, 4);
            std::map<vm_id, std::size_t> watchers;
            for (const auto& vm : members)
            {
                for (const auto& neighbour :
                     choose_neighbours(vm, members, count))
                {
                    RC_ASSERT(neighbour != vm);
                    ++watchers[neighbour];
                }
            }
            const auto expected = std::min(count, members.size() - 1);
            for (const auto& vm : members)
            {
                RC_ASSERT(watchers[vm] == expected);
            }
        }));
}

// Guards against a silent predecessor that is looked for in the wrong place.
Test(failure_detector, the_predecessor_is_the_one_that_sends_heartbeats)
{
    cr_assert(rc::check(
        []
        {
            const auto members = make_members(*rc::gen::inRange(2, 60));
            for (const auto& vm : members)
            {
                const auto neighbour =
                    choose_neighbours(vm, members, 1).front();
                RC_ASSERT(choose_predecessor(neighbour, members) == vm);
            }
        }));
}

// Guards against a suspicion after too few missed heartbeats and against two
// confirmations at once.
Test(failure_detector, confirmation_begins_at_the_limit_and_only_once)
{
    neighbour_health watch;
    cr_assert(record_missed_heartbeat(watch, 3) == detector_action::none);
    cr_assert(record_missed_heartbeat(watch, 3) == detector_action::none);
    cr_assert(record_missed_heartbeat(watch, 3) == detector_action::confirm);
    cr_assert(record_missed_heartbeat(watch, 3) == detector_action::none);
}

// Guards against `down` on the word of this node alone or against a witness.
Test(failure_detector, down_needs_witnesses_and_no_contradiction)
{
    cr_assert(rc::check(
        []
        {
            confirmation_counts answers;
            answers.reachable_ = *rc::gen::inRange<std::size_t>(0, 4);
            answers.unreachable_ = *rc::gen::inRange<std::size_t>(0, 4);
            answers.asked_ = answers.reachable_ + answers.unreachable_ +
                             *rc::gen::inRange<std::size_t>(0, 4);
            neighbour_health watch{3, 0, true};
            const auto verdict = evaluate_confirmation(watch, answers);
            RC_ASSERT(!watch.confirming_);
            RC_ASSERT(
                (verdict == suspicion_verdict::alive) ==
                (answers.reachable_ > 0));
            RC_ASSERT(
                (verdict == suspicion_verdict::down) ==
                (answers.reachable_ == 0 &&
                 2 * answers.unreachable_ > answers.asked_));
        }));
}

// Guards against a suspect that stays one forever because most of the nodes
// asked about it failed with it.
Test(failure_detector, a_minority_confirms_after_several_rounds)
{
    neighbour_health watch;
    cr_assert(
        evaluate_confirmation(watch, {3, 0, 1}) ==
        suspicion_verdict::inconclusive);
    cr_assert(
        evaluate_confirmation(watch, {3, 0, 1}) ==
        suspicion_verdict::inconclusive);
    cr_assert(
        evaluate_confirmation(watch, {3, 0, 1}) == suspicion_verdict::down);
}

// Guards against a node that is cut off and declares the others down.
Test(failure_detector, silence_of_all_proves_nothing)
{
    neighbour_health watch;
    for (int round = 0; round < 10; ++round)
    {
        cr_assert(
            evaluate_confirmation(watch, {3, 0, 0}) ==
            suspicion_verdict::inconclusive);
    }
}

// Guards against a failure domain that is given up after one lost contact or
// stays given up after it was reached.
Test(domain_reachability, changes_after_failures_in_a_row)
{
    const failure_domain_id domain{"kandy-a"};
    domain_reachability reachability(3);
    cr_assert_not(reachability.record_contact(domain, false));
    cr_assert_not(reachability.record_contact(domain, false));
    cr_assert_not(reachability.record_contact(domain, true));
    cr_assert_not(reachability.record_contact(domain, false));
    cr_assert_not(reachability.record_contact(domain, false));
    cr_assert(reachability.record_contact(domain, false));
    cr_assert_not(reachability.is_reachable(domain));
    cr_assert(reachability.record_contact(domain, true));
    cr_assert(reachability.is_reachable(domain));
}
