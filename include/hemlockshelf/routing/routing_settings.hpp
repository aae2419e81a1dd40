#ifndef HEMLOCKSHELF_ROUTING_ROUTING_SETTINGS_HPP
#define HEMLOCKSHELF_ROUTING_ROUTING_SETTINGS_HPP

#include <chrono>
#include <cstdint>

#include "hemlockshelf/core/token_bucket.hpp"

namespace hemlockshelf {

/// Tunables of the choice of an upstream.
struct routing_settings
{
    /// Age at which the free slots seen on an answer say nothing any more.
    std::chrono::milliseconds load_lifetime_{2000};
    /// Use of a tier (0 to 1) at which its calls start to spill, and at which
    /// the highest share of them does.
    double spill_start_ = 0.7;
    double spill_end_ = 1.0;
    /// Highest share of calls that spill; the rest keeps measuring the tier.
    double spill_max_ = 0.95;
    /// Each node moves its thresholds by a random amount up to this one, so
    /// that nodes do not all spill at the same use.
    double spill_spread_ = 0.05;
    /// Time constant of the smoothed use. It must be well above the age of the
    /// load that it is computed from, or the share of spilled calls swings.
    std::chrono::milliseconds spill_smoothing_{1000};
    /// Least interval between two updates of the smoothed use.
    std::chrono::milliseconds spill_interval_{20};

    /// Failures in a row that eject an upstream.
    std::uint32_t failures_to_eject_ = 5;
    /// Share of failed calls that ejects an upstream, and the calls that must
    /// have been seen before the share counts.
    double failure_share_to_eject_ = 0.5;
    std::uint32_t calls_to_judge_ = 20;
    /// Weight of the newest call in the share of failed calls.
    double failure_weight_ = 0.05;
    /// Largest part of a pool that is ejected at a time. Failures of more
    /// upstreams than that point at the signal and not at the upstreams.
    double ejection_limit_ = 1.0 / 3;
    /// Time of the first ejection; each further one lasts twice as long.
    std::chrono::milliseconds ejection_time_{1000};
    std::chrono::milliseconds ejection_time_max_{60'000};
    /// Calls that must succeed, one at a time, before an upstream that comes
    /// back gets its whole share.
    std::uint32_t probes_to_recover_ = 2;
    /// Time without a failure after which past ejections are forgotten.
    std::chrono::milliseconds ejection_memory_{120'000};

    /// Time in which a new upstream's share grows to its full size.
    std::chrono::milliseconds warm_up_{10'000};
    /// Share with which a new upstream starts.
    double warm_up_start_ = 0.1;

    /// Calls per second that a node sends to other regions. The link carries
    /// 30 Mbit/s each way and is billed by volume.
    token_rate region_calls_{50, 100};
};

} // namespace hemlockshelf

#endif
