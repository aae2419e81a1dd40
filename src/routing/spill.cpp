#include "hemlockshelf/routing/spill.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hemlockshelf {

namespace {

// Difference in utilization at which the farther tier takes the full spilled
// share. The share falls to zero with the difference, because two equally
// utilized tiers gain nothing from exchanging calls.
constexpr double full_spill_advantage = 0.2;

double utilization_of(const tier_capacity& capacity)
{
    return capacity.observed_slots_ > 0
               ? std::clamp(
                     1 - capacity.observed_free_slots_ /
                             capacity.observed_slots_,
                     0.0, 1.0)
               : 1;
}

double spilled_share(
    const spill_state& state,
    double utilization,
    const routing_settings& settings)
{
    const double start = settings.spill_start_ + state.offset_;
    const double width =
        std::max(settings.spill_end_ - settings.spill_start_, 0.01);
    const double share = std::clamp((utilization - start) / width, 0.0, 1.0);
    return share * settings.spill_max_;
}

// Returns the smoothed utilization of the least utilized tier beyond `tier`.
double lowest_utilization_beyond(
    const spill_state& state,
    const tier_capacities& capacities,
    std::size_t tier)
{
    double lowest = 1;
    for (auto next = tier + 1; next < capacities.size(); ++next)
    {
        if (capacities.at(next).slots_ > 0)
        {
            lowest = std::min(lowest, state.utilization_.at(next));
        }
    }
    return lowest;
}

bool has_farther_tier(const tier_capacities& capacities, std::size_t tier)
{
    return std::any_of(
        capacities.begin() + static_cast<std::ptrdiff_t>(tier) + 1,
        capacities.end(),
        [](const tier_capacity& capacity)
        {
            return capacity.slots_ > 0;
        });
}

} // namespace

void update_spill(
    spill_state& state,
    const tier_capacities& capacities,
    const routing_settings& settings,
    steady_time now)
{
    const auto elapsed = now - state.updated_at_;
    if (elapsed < settings.spill_interval_)
    {
        return;
    }
    const std::chrono::duration<double> smoothing = settings.spill_smoothing_;
    const double decay = std::exp(-(elapsed / smoothing));
    for (std::size_t tier = 0; tier < capacities.size(); ++tier)
    {
        const double utilization = utilization_of(capacities.at(tier));
        state.utilization_.at(tier) =
            utilization + (state.utilization_.at(tier) - utilization) * decay;
    }
    state.updated_at_ = now;
}

tier_shares compute_tier_shares(
    const spill_state& state,
    const tier_capacities& capacities,
    const routing_settings& settings)
{
    tier_shares shares{};
    double left = 1;
    for (std::size_t tier = 0; tier < capacities.size(); ++tier)
    {
        if (capacities.at(tier).slots_ <= 0)
        {
            continue;
        }
        if (!has_farther_tier(capacities, tier))
        {
            shares.at(tier) = left;
            break;
        }
        const double utilization = state.utilization_.at(tier);
        const double advantage =
            (utilization - lowest_utilization_beyond(state, capacities, tier)) /
            full_spill_advantage;
        const double passed_on = spilled_share(state, utilization, settings) *
                                 std::clamp(advantage, 0.0, 1.0);
        shares.at(tier) = left * (1 - passed_on);
        left *= passed_on;
    }
    return shares;
}

} // namespace hemlockshelf
