#ifndef HEMLOCKSHELF_ROUTING_CANDIDATES_HPP
#define HEMLOCKSHELF_ROUTING_CANDIDATES_HPP

#include <array>
#include <cstddef>
#include <span>
#include <vector>

#include "hemlockshelf/core/random_source.hpp"
#include "hemlockshelf/routing/pool_state.hpp"
#include "hemlockshelf/routing/upstream_choice.hpp"

namespace hemlockshelf {

/// Groups of candidates; a group is only used when those before it are empty.
enum class candidate_rank
{
    usable,
    doubtful,
    unreachable,
    excluded,
};

/// The ranks from which upstreams are chosen, best first.
inline constexpr std::array candidate_ranks{
    candidate_rank::usable, candidate_rank::doubtful,
    candidate_rank::unreachable};

/// A member that may be chosen.
struct candidate
{
    std::size_t index_ = 0;
    locality_tier tier_ = locality_tier::own_failure_domain;
    double free_slots_ = 0;
    /// Share of the random draws, by slots and warm-up.
    double weight_ = 0;
    /// Calls in progress against free slots; lower is better.
    double load_ = 0;
};

/// The candidates of one rank.
struct candidate_set
{
    candidate_rank rank_ = candidate_rank::usable;
    std::vector<candidate> members_;
    tier_capacities capacities_{};
};

/// Returns what speaks for or against a member.
candidate_status candidate_status_of(
    const pool_state& state, std::size_t index, std::span<const vm_id> tried);

/// Returns the group to which a status belongs.
candidate_rank candidate_rank_of(candidate_status status);

/// Collects the candidates of one rank and the capacity of their tiers.
candidate_set gather_candidates(
    const pool_state& state,
    std::span<const vm_id> tried,
    candidate_rank rank,
    const routing_settings& settings,
    steady_time now);

/// Draws two different candidates of a tier at random, by weight, and returns
/// the member index of the less loaded one. The tier must have a candidate.
std::size_t better_of_two(
    const candidate_set& set, locality_tier tier, random_source& random);

} // namespace hemlockshelf

#endif
