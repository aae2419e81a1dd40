#ifndef HEMLOCKSHELF_ROUTING_SPILL_HPP
#define HEMLOCKSHELF_ROUTING_SPILL_HPP

#include <array>
#include <cstddef>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/routing/locality.hpp"
#include "hemlockshelf/routing/routing_settings.hpp"

namespace hemlockshelf {

/// Slots of the usable upstreams of one tier.
struct tier_capacity
{
    double slots_ = 0;
    /// Slots and free slots weighted by how recently they were seen, so that
    /// upstreams of which nothing is known don't count as free.
    double observed_slots_ = 0;
    double observed_free_slots_ = 0;
};

using tier_capacities = std::array<tier_capacity, locality_tier_count>;

/// Smoothed use of the tiers of a pool, from 0 (idle) to 1 (full).
struct spill_state
{
    std::array<double, locality_tier_count> utilization_{};
    steady_time updated_at_{};
    /// This node's offset from the common thresholds.
    double offset_ = 0;
};

/// Share of the calls that each tier gets; the sum is 1 unless no tier has
/// slots.
using tier_shares = std::array<double, locality_tier_count>;

/// Moves the smoothed use towards the present one.
void update_spill(
    spill_state& state,
    const tier_capacities& capacities,
    const routing_settings& settings,
    steady_time now);

/// Returns how the calls are shared out between the tiers. A tier passes calls
/// on as its own use rises, to the extent that farther tiers are less used.
tier_shares compute_tier_shares(
    const spill_state& state,
    const tier_capacities& capacities,
    const routing_settings& settings);

} // namespace hemlockshelf

#endif
