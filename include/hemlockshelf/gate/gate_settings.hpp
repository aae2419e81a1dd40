#ifndef HEMLOCKSHELF_GATE_GATE_SETTINGS_HPP
#define HEMLOCKSHELF_GATE_GATE_SETTINGS_HPP

#include <chrono>
#include <cstddef>

#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/core/token_bucket.hpp"

namespace hemlockshelf {

/// Tunables of a gate.
struct gate_settings
{
    /// Part of the capacity that is kept free for lookups, at the cost of as
    /// much goodput when there are none. Where it is less than a slot, one
    /// slot is kept free for as much of the time as makes up the part.
    double lookup_reserve_ = 0.05;
    /// Part of the slots up to which waiting lookups go before everything
    /// else; beyond it they count as `standard`, so that they can't starve it.
    double lookup_priority_share_ = 0.6;
    /// Part of the slots that bulk calls may use together, at least one slot.
    double bulk_share_ = 0.5;
    /// Waiting calls per slot; a longer queue only adds waiting time.
    double queue_per_slot_ = 2;
    /// Most waiting calls, whatever the number of slots.
    std::size_t queue_limit_ = 256;
    /// Longest time that a call may be expected to wait.
    std::chrono::milliseconds max_wait_{500};
    /// Mean service times that must be left after the expected wait. With 1,
    /// a third of calls with exponential service times would end too late.
    double service_margin_ = 2;
    /// Service time that is assumed until calls have been measured.
    std::chrono::milliseconds assumed_service_time_{10};
    /// Weight of the newest call in the mean service time.
    double service_time_weight_ = 0.05;
    /// Time after which the use of an account or entry counts half.
    std::chrono::milliseconds usage_half_life_{5000};
    /// Accounts or entries whose use is remembered; the least used are
    /// forgotten first.
    std::size_t usage_limit_ = 4096;
    /// Pace of new connections to the upstream. One costs it about 1 ms, so
    /// that this pace takes at most a tenth of one of its cores.
    token_rate new_connections_{100, 8};
    /// Capacity of the VM's link; 0 if it is not known.
    bit_rate link_{};
    /// Part of the link that bodies of requests may use; answers, lookups and
    /// control messages need the rest.
    double link_body_share_ = 0.8;
    /// Bodies that arrive at once take the link for at most this time, so that
    /// what else comes waits no longer.
    std::chrono::milliseconds link_grant_{150};
    /// Idempotency records that are held. A record takes about 100 bytes.
    std::size_t idempotency_limit_ = 65'536;
    /// Part of the records that one account may hold.
    double idempotency_account_share_ = 0.5;
    /// Age at which the record of a finished request is dropped.
    std::chrono::seconds idempotency_age_{600};
};

} // namespace hemlockshelf

#endif
