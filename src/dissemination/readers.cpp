#include "hemlockshelf/dissemination/readers.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <tuple>
#include <utility>

#include "hemlockshelf/core/content_hash.hpp"

namespace hemlockshelf {

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
