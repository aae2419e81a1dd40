#include "hemlockshelf/dissemination/readers.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "hemlockshelf/core/content_hash.hpp"

namespace hemlockshelf {

namespace {

// Regions whose round trips to the platform differ by less are equally close.
// Regions are tens of milliseconds apart, and a loaded node measures a few
// milliseconds too much.
constexpr std::chrono::milliseconds same_distance{10};

using round_trip = std::optional<std::chrono::microseconds>;

round_trip shorter(const round_trip& left, const round_trip& right)
{
    if (!left || !right)
    {
        return left ? left : right;
    }
    return std::min(*left, *right);
}

/// Returns the regions that are closest to the platform, or none if no round
/// trip is known.
std::set<region_id>
closest_regions(const std::vector<domain_candidates>& domains)
{
    std::map<region_id, round_trip> by_region;
    round_trip shortest;
    for (const auto& domain : domains)
    {
        auto& known = by_region[domain.region_];
        known = shorter(known, domain.platform_round_trip_);
        shortest = shorter(shortest, domain.platform_round_trip_);
    }
    std::set<region_id> closest;
    for (const auto& [region, known] : by_region)
    {
        if (known && *known < *shortest + same_distance)
        {
            closest.insert(region);
        }
    }
    return closest;
}

auto preference_of(const publication_candidate& candidate)
{
    return std::tuple(
        candidate.platform_lost_,
        std::numeric_limits<std::uint64_t>::max() - candidate.link_.value(),
        hash_text(candidate.vm_.value()), candidate.vm_);
}

} // namespace

domain_candidates summarize_domain(
    const region_id& region,
    std::vector<publication_candidate> members,
    std::size_t count)
{
    domain_candidates summary;
    summary.region_ = region;
    for (const auto& member : members)
    {
        summary.platform_round_trip_ =
            shorter(summary.platform_round_trip_, member.platform_round_trip_);
    }
    const auto kept = std::min(members.size(), count);
    std::ranges::partial_sort(
        members, members.begin() + static_cast<std::ptrdiff_t>(kept), {},
        preference_of);
    members.resize(kept);
    summary.best_ = std::move(members);
    return summary;
}

std::vector<vm_id> choose_publication_readers(
    const std::vector<domain_candidates>& domains, std::size_t count)
{
    const auto closest = closest_regions(domains);
    const auto rank_of = [](const auto& ranked)
    {
        const auto& [is_far, turn, candidate] = ranked;
        return std::tuple(
            candidate->platform_lost_, is_far, turn, preference_of(*candidate));
    };
    std::vector<std::tuple<bool, std::size_t, const publication_candidate*>>
        ranked;
    for (const auto& domain : domains)
    {
        const bool is_far =
            !closest.empty() && !closest.contains(domain.region_);
        for (std::size_t turn = 0; turn < domain.best_.size(); ++turn)
        {
            ranked.emplace_back(is_far, turn, &domain.best_[turn]);
        }
    }
    std::ranges::sort(ranked, {}, rank_of);
    std::vector<vm_id> readers;
    for (const auto& [is_far, turn, candidate] : ranked)
    {
        if (readers.size() == count)
        {
            break;
        }
        readers.push_back(candidate->vm_);
    }
    return readers;
}

std::vector<vm_id> choose_by_rendezvous_hash(
    const failure_domain_id& domain,
    std::vector<vm_id> live_members,
    std::size_t count)
{
    const auto seed = hash_text(domain.value());
    std::vector<std::pair<std::uint64_t, vm_id>> ranked;
    ranked.reserve(live_members.size());
    for (auto& vm : live_members)
    {
        const auto rank = hash_text(vm.value(), seed);
        ranked.emplace_back(rank, std::move(vm));
    }
    const auto chosen = std::min(ranked.size(), count);
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(chosen),
        ranked.end());
    std::vector<vm_id> readers;
    for (std::size_t index = 0; index < chosen; ++index)
    {
        readers.push_back(std::move(ranked[index].second));
    }
    return readers;
}

std::vector<vm_id> choose_platform_readers(
    const failure_domain_id& domain,
    std::vector<reader_candidate> candidates,
    std::size_t count)
{
    const auto seed = hash_text(domain.value());
    const auto rank_of = [seed](const reader_candidate& candidate)
    {
        return std::tuple(
            candidate.platform_lost_,
            std::numeric_limits<std::uint64_t>::max() - candidate.link_.value(),
            hash_text(candidate.vm_.value(), seed), candidate.vm_);
    };
    std::ranges::sort(candidates, {}, rank_of);
    std::vector<vm_id> readers;
    for (auto& candidate : candidates)
    {
        if (readers.size() == count)
        {
            break;
        }
        readers.push_back(std::move(candidate.vm_));
    }
    return readers;
}

} // namespace hemlockshelf
