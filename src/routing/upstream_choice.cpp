#include "hemlockshelf/routing/upstream_choice.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

#include "hemlockshelf/routing/candidates.hpp"
#include "hemlockshelf/routing/ejection.hpp"

namespace hemlockshelf {

namespace {

constexpr auto other_region =
    static_cast<std::size_t>(locality_tier::other_region);

// Picks a tier at random by its share of the calls.
std::size_t draw_tier(const tier_shares& shares, random_source& random)
{
    double left = random_fraction(random);
    std::size_t last = 0;
    for (std::size_t tier = 0; tier < shares.size(); ++tier)
    {
        if (shares.at(tier) <= 0)
        {
            continue;
        }
        last = tier;
        left -= shares.at(tier);
        if (left < 0)
        {
            break;
        }
    }
    return last;
}

bool has_nearer(const candidate_set& set)
{
    return std::any_of(
        set.capacities_.begin(), set.capacities_.begin() + other_region,
        [](const tier_capacity& capacity)
        {
            return capacity.slots_ > 0;
        });
}

struct tier_pick
{
    std::size_t tier_ = 0;
    bool found_ = false;
    bool budget_empty_ = false;
};

// Draws a tier. Other regions need a token; without one the nearer tiers are
// used, if they have candidates.
tier_pick pick_tier(
    const candidate_set& set,
    const spill_state& spill,
    const routing_settings& settings,
    token_bucket& region_budget,
    steady_time now,
    random_source& random)
{
    if (set.members_.empty())
    {
        return {};
    }
    auto shares = share_tiers(spill, set.capacities_, settings);
    const auto tier = draw_tier(shares, random);
    if (tier != other_region ||
        try_take(region_budget, settings.region_calls_, now))
    {
        return {tier, true, false};
    }
    if (!has_nearer(set))
    {
        return {0, false, true};
    }
    auto nearer = set.capacities_;
    nearer.at(other_region) = {};
    shares = share_tiers(spill, nearer, settings);
    return {draw_tier(shares, random), true, true};
}

choice_reason reason_for(const candidate_set& set, std::size_t tier)
{
    if (set.rank_ != candidate_rank::usable)
    {
        return choice_reason::last_resort;
    }
    const bool nearer = std::any_of(
        set.capacities_.begin(),
        set.capacities_.begin() + static_cast<std::ptrdiff_t>(tier),
        [](const tier_capacity& capacity)
        {
            return capacity.slots_ > 0;
        });
    return nearer ? choice_reason::spilled : choice_reason::nearest_tier;
}

} // namespace

error_kind choice_error(choice_reason value)
{
    switch (value)
    {
    case choice_reason::region_budget_empty:
        return error_kind::overloaded;
    case choice_reason::pool_limit:
        return error_kind::quota_exceeded;
    default:
        return error_kind::no_upstream;
    }
}

upstream_choice choose_upstream(
    pool_state& state,
    const choice_request& request,
    const routing_settings& settings,
    token_bucket& region_budget,
    steady_time now,
    random_source& random)
{
    if (state.in_progress_ >= request.max_concurrent_calls_)
    {
        return {choice_reason::pool_limit, std::nullopt, {}};
    }
    end_ejections(state.loads_, now);
    bool budget_empty = false;
    for (const auto rank : candidate_ranks)
    {
        const auto set =
            gather_candidates(state, request.tried_, rank, settings, now);
        if (rank == candidate_rank::usable)
        {
            update_spill(state.spill_, set.capacities_, settings, now);
        }
        const auto pick =
            pick_tier(set, state.spill_, settings, region_budget, now, random);
        budget_empty = budget_empty || pick.budget_empty_;
        if (pick.found_)
        {
            const auto tier = static_cast<locality_tier>(pick.tier_);
            const auto index = better_of_two(set, tier, random);
            return {
                reason_for(set, pick.tier_), (*state.members_)[index].record_,
                tier};
        }
    }
    return {
        budget_empty ? choice_reason::region_budget_empty
                     : choice_reason::no_candidate,
        std::nullopt,
        {}};
}

std::vector<candidate_description> describe_candidates(
    const pool_state& state,
    std::span<const vm_id> tried,
    const routing_settings& settings,
    steady_time now)
{
    const auto usable =
        gather_candidates(state, tried, candidate_rank::usable, settings, now);
    const auto shares = share_tiers(state.spill_, usable.capacities_, settings);
    std::vector<candidate_description> views;
    for (std::size_t index = 0; index < state.loads_.size(); ++index)
    {
        const auto& member = (*state.members_)[index].record_;
        const auto& load = state.loads_[index];
        const bool warming = member.state_ == upstream_state::warming;
        views.push_back(
            {member.vm_, state.tiers_[index],
             candidate_status_of(state, index, tried),
             estimated_free_slots(load, member.slots_, settings, now),
             load.in_progress_, warm_up_share(load, warming, settings, now),
             load.failure_share_,
             shares.at(static_cast<std::size_t>(state.tiers_[index]))});
    }
    return views;
}

} // namespace hemlockshelf
