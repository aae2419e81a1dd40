#include "hemlockshelf/dissemination/readers.hpp"

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

const failure_domain_id domain{"colombo-a"};

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

// Guards against nodes that choose other readers from the same members, and
// against a number of readers that grows with the fleet.
Test(readers, the_choice_does_not_depend_on_the_order)
{
    cr_assert(rc::check(
        []
        {
            auto members = make_members(*rc::gen::inRange(0, 50));
            const auto count = *rc::gen::inRange<std::size_t>(0, 4);
            const auto readers =
                choose_by_rendezvous_hash(domain, members, count);
            RC_ASSERT(readers.size() == std::min(count, members.size()));
            std::ranges::reverse(members);
            RC_ASSERT(
                choose_by_rendezvous_hash(domain, members, count) == readers);
        }));
}

// Guards against a change of every reader when one member leaves.
Test(readers, a_departure_replaces_at_most_one_reader)
{
    cr_assert(rc::check(
        []
        {
            auto members = make_members(*rc::gen::inRange(4, 50));
            const auto before = choose_by_rendezvous_hash(domain, members, 2);
            const auto leaving = *rc::gen::elementOf(members);
            std::erase(members, leaving);
            const auto after = choose_by_rendezvous_hash(domain, members, 2);
            const std::set<vm_id> kept(after.begin(), after.end());
            for (const auto& vm : before)
            {
                RC_ASSERT(vm == leaving || kept.contains(vm));
            }
        }));
}

namespace {

reader_candidate
candidate(const char* vm, std::uint64_t link, bool lost = false)
{
    return {vm_id{vm}, bit_rate{link}, lost};
}

std::vector<vm_id> chosen(std::vector<reader_candidate> candidates)
{
    return choose_platform_readers(
        failure_domain_id{"a"}, std::move(candidates), 2);
}

} // namespace

// Guards against documents of operators that are read over the smallest links.
Test(readers, larger_links_read_the_platform)
{
    const auto readers = chosen(
        {candidate("a", 7), candidate("b", 140), candidate("c", 7),
         candidate("d", 141)});
    const std::vector<vm_id> expected{vm_id{"d"}, vm_id{"b"}};
    cr_assert(readers == expected);
}

// Guards against a failure domain that runs old revisions because its readers
// have lost the platform and others have not.
Test(readers, a_node_that_lost_the_platform_is_passed_over)
{
    const auto readers = chosen(
        {candidate("a", 7), candidate("b", 140, true), candidate("c", 7)});
    cr_assert(std::ranges::find(readers, vm_id{"b"}) == readers.end());
    cr_assert(readers.size() == 2);
}

// Guards against a choice that moves when nobody reaches the platform.
Test(readers, the_choice_stays_when_all_have_lost_the_platform)
{
    const auto reached =
        chosen({candidate("a", 7), candidate("b", 140), candidate("c", 9)});
    const auto lost = chosen(
        {candidate("a", 7, true), candidate("b", 140, true),
         candidate("c", 9, true)});
    cr_assert(reached == lost);
}
