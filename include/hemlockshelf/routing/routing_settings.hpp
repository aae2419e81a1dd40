#ifndef HEMLOCKSHELF_ROUTING_ROUTING_SETTINGS_HPP
#define HEMLOCKSHELF_ROUTING_ROUTING_SETTINGS_HPP

#include <chrono>
#include <cstdint>

#include "hemlockshelf/core/token_bucket.hpp"

namespace hemlockshelf {

/// Settings of the choice of an upstream.
struct routing_settings
{
    /// Age at which the free slots reported in a response are ignored.
    std::chrono::milliseconds load_lifetime_{2000};
    /// Utilization of a tier (0 to 1) at which its calls start to spill over,
    /// and at which the share of spilled calls reaches its maximum.
    double spill_start_ = 0.7;
    double spill_end_ = 1.0;
    /// Maximum share of spilled calls; the others keep measuring the tier.
    double spill_max_ = 0.95;
    /// Each node shifts its thresholds by a random offset of up to this value,
    /// so that nodes do not all spill at the same utilization.
    double spill_spread_ = 0.05;
    /// Time constant of the smoothed utilization. It must be well above the age
    /// of the load reports, or the share of spilled calls oscillates.
    std::chrono::milliseconds spill_smoothing_{1000};
    /// Minimum interval between updates of the smoothed utilization.
    std::chrono::milliseconds spill_interval_{20};

    /// Consecutive failures that eject an upstream.
    std::uint32_t failures_to_eject_ = 5;
    /// Share of failed calls that ejects an upstream, and the number of calls
    /// that must have been recorded before the share counts.
    double failure_share_to_eject_ = 0.5;
    std::uint32_t calls_to_judge_ = 20;
    /// Weight of the newest call in the moving average of failed calls.
    double failure_weight_ = 0.05;
    /// Largest fraction of a pool that is ejected at a time. If more upstreams
    /// fail, the failure signal itself is likely to be wrong.
    double ejection_limit_ = 1.0 / 3;
    /// Duration of the first ejection; it doubles with each further one.
    std::chrono::milliseconds ejection_time_{1000};
    std::chrono::milliseconds ejection_time_max_{60'000};
    /// Calls that must succeed, one at a time, before an ejected upstream gets
    /// its full share again.
    std::uint32_t probes_to_recover_ = 2;
    /// Time without a failure after which the count of ejections is reset.
    std::chrono::milliseconds ejection_memory_{120'000};

    /// Time over which the share of a new upstream grows to its full size.
    std::chrono::milliseconds warm_up_{10'000};
    /// Initial share of a new upstream.
    double warm_up_start_ = 0.1;

    /// Rate limit of a node's calls to other regions. The link carries 30
    /// Mbit/s each way and is billed by volume.
    token_rate region_calls_{50, 100};
};

} // namespace hemlockshelf

#endif
