#ifndef HEMLOCKSHELF_ROUTING_SPILL_HPP
#define HEMLOCKSHELF_ROUTING_SPILL_HPP

#include <array>
#include <cstddef>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/routing/locality.hpp"
#include "hemlockshelf/routing/routing_settings.hpp"

namespace hemlockshelf {

/// Capacity of the usable upstreams of one tier.
struct tier_capacity
{
    double slots_ = 0;
    /// Slots and free slots, weighted by the age of the load report, so that
    /// upstreams without a report don't count as free.
    double observed_slots_ = 0;
    double observed_free_slots_ = 0;
};

using tier_capacities = std::array<tier_capacity, locality_tier_count>;

/// Smoothed utilization of the tiers of a pool, from 0 (idle) to 1 (full).
struct spill_state
{
    std::array<double, locality_tier_count> utilization_{};
    steady_time updated_at_{};
    /// This node's offset from the common thresholds.
    double offset_ = 0;
};

/// Share of the calls that each tier gets. The sum is 1 unless no tier has
/// slots.
using tier_shares = std::array<double, locality_tier_count>;

/// Updates the smoothed utilization with the current one.
void update_spill(
    spill_state& state,
    const tier_capacities& capacities,
    const routing_settings& settings,
    steady_time now);

/// Returns the distribution of calls over the tiers. A tier spills more calls
/// as its utilization rises, to the extent that farther tiers are less
/// utilized.
tier_shares compute_tier_shares(
    const spill_state& state,
    const tier_capacities& capacities,
    const routing_settings& settings);

} // namespace hemlockshelf

#endif
