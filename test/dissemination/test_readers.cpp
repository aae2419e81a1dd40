#include "hemlockshelf/dissemination/readers.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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

// Guards against nodes that select different readers from the same members, and
// against a number of readers that grows with the number of members.
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

// Guards against replacing more than one reader when a member leaves.
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

// Guards against polling large configuration documents over small links.
Test(readers, larger_links_read_the_platform)
{
    const auto readers = chosen(
        {candidate("a", 7), candidate("b", 140), candidate("c", 7),
         candidate("d", 141)});
    const std::vector<vm_id> expected{vm_id{"d"}, vm_id{"b"}};
    cr_assert(readers == expected);
}

// Guards against a failure domain that runs old revisions because its readers
// cannot reach the platform while other members can.
Test(readers, a_node_that_lost_the_platform_is_passed_over)
{
    const auto readers = chosen(
        {candidate("a", 7), candidate("b", 140, true), candidate("c", 7)});
    cr_assert(std::ranges::find(readers, vm_id{"b"}) == readers.end());
    cr_assert(readers.size() == 2);
}

// Guards against a change of readers when no member reaches the platform.
Test(readers, the_choice_stays_when_all_have_lost_the_platform)
{
    const auto reached =
        chosen({candidate("a", 7), candidate("b", 140), candidate("c", 9)});
    const auto lost = chosen(
        {candidate("a", 7, true), candidate("b", 140, true),
         candidate("c", 9, true)});
    cr_assert(reached == lost);
}

namespace {

using namespace std::chrono_literals;

publication_candidate member(
    const std::string& vm,
    std::uint64_t link,
    std::optional<std::chrono::microseconds> round_trip,
    bool lost = false)
{
    return {vm_id{vm}, bit_rate{link}, lost, round_trip};
}

/// Two failure domains in each of two regions. The platform is in `near`.
std::vector<domain_candidates> two_regions(bool near_lost = false)
{
    std::vector<domain_candidates> domains;
    for (const auto* region : {"near", "far"})
    {
        const bool is_near = std::string_view(region) == "near";
        const auto round_trip = is_near ? 6ms : 45ms;
        for (const auto* suffix : {"a", "b"})
        {
            const auto name = fmt::format("{}-{}", region, suffix);
            domains.push_back(summarize_domain(
                region_id{region},
                {member(name + "-1", 140, round_trip, is_near && near_lost),
                 member(name + "-2", 14, std::nullopt, is_near && near_lost),
                 member(name + "-3", 14, 30ms, is_near && near_lost)},
                4));
        }
    }
    return domains;
}

std::size_t count_in(const std::vector<vm_id>& readers, std::string_view prefix)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        readers,
        [prefix](const vm_id& vm)
        {
            return vm.value().starts_with(prefix);
        }));
}

} // namespace

// Guards against documents that fill the link between regions: during a storm
// of configurations the readers of the region without the platform were 15 s
// late, and heartbeats and polls waited behind the documents.
Test(readers, published_configurations_are_read_in_the_closest_region)
{
    const auto readers = choose_publication_readers(two_regions(), 4);
    cr_assert(readers.size() == 4);
    cr_assert(count_in(readers, "near-") == 4);
}

// Guards against the loss of one failure domain that takes all readers away.
Test(readers, readers_of_publications_are_spread_over_failure_domains)
{
    const auto readers = choose_publication_readers(two_regions(), 4);
    cr_assert(count_in(readers, "near-a") == 2);
    cr_assert(count_in(readers, "near-b") == 2);
    const std::set<vm_id> first(readers.begin(), readers.begin() + 2);
    const std::set<vm_id> expected{vm_id{"near-a-1"}, vm_id{"near-b-1"}};
    cr_assert(first == expected);
}

// Guards against a fleet that keeps an old revision because the closest region
// cannot reach the platform, although another one can.
Test(readers, another_region_reads_when_the_closest_has_lost_the_platform)
{
    const auto readers = choose_publication_readers(two_regions(true), 4);
    cr_assert(count_in(readers, "far-") == 4);
}

// Guards against a deployment without readers while no round trip is known,
// and against a choice that depends on one slow measurement.
Test(readers, regions_of_similar_or_unknown_distance_are_equal)
{
    using round_trip = std::optional<std::chrono::microseconds>;
    const std::vector<std::pair<round_trip, round_trip>> pairs{
        {std::nullopt, std::nullopt}, {9ms, 2ms}};
    for (const auto& [one, two] : pairs)
    {
        const std::vector<domain_candidates> domains{
            summarize_domain(region_id{"one"}, {member("one-1", 14, one)}, 2),
            summarize_domain(region_id{"two"}, {member("two-1", 14, two)}, 2)};
        cr_assert(choose_publication_readers(domains, 2).size() == 2);
        cr_assert(choose_publication_readers(domains, 1).size() == 1);
    }
}

// Guards against nodes that choose different readers from the same members.
Test(readers, the_readers_of_publications_do_not_depend_on_the_order)
{
    cr_assert(rc::check(
        []
        {
            auto domains = two_regions(*rc::gen::arbitrary<bool>());
            const auto count = *rc::gen::inRange<std::size_t>(0, 14);
            const auto readers = choose_publication_readers(domains, count);
            RC_ASSERT(readers.size() == std::min<std::size_t>(count, 12));
            std::ranges::reverse(domains);
            RC_ASSERT(choose_publication_readers(domains, count) == readers);
        }));
}
