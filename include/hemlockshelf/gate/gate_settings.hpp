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
    /// Fraction of the capacity that is reserved for lookups. Without lookups
    /// the same fraction of goodput is lost. If it is less than one slot, one
    /// slot is reserved for the corresponding fraction of the time.
    double lookup_reserve_ = 0.05;
    /// Fraction of the slots up to which waiting lookups precede all other
    /// calls. Beyond it they count as `standard`, so that they can't starve it.
    double lookup_priority_share_ = 0.6;
    /// Fraction of the slots that bulk calls may use together, at least one
    /// slot.
    double bulk_share_ = 0.5;
    /// Limit of the queue per slot; a longer queue only adds waiting time.
    double queue_per_slot_ = 2;
    /// Limit of the queue for any number of slots.
    std::size_t queue_limit_ = 256;
    /// Calls whose expected wait is longer than this are refused.
    std::chrono::milliseconds max_wait_{500};
    /// Time that must be left until the deadline after the expected wait, in
    /// mean service times. With 1, a third of calls with exponential service
    /// times would end too late.
    double service_margin_ = 2;
    /// Service time that is assumed until calls have been measured.
    std::chrono::milliseconds assumed_service_time_{10};
    /// Weight of the newest call in the moving average of the service time.
    double service_time_weight_ = 0.05;
    /// Half-life of the recorded usage of an account or entry.
    std::chrono::milliseconds usage_half_life_{5000};
    /// Most accounts, and most entries, whose usage is recorded; those with the
    /// least usage are evicted first.
    std::size_t usage_limit_ = 4096;
    /// Rate limit of new connections to the upstream. Each costs it about 1 ms
    /// of CPU time, so that this rate uses at most a tenth of one core.
    token_rate new_connections_{100, 8};
    /// Capacity of the VM's network link; 0 if it is not known.
    bit_rate link_{};
    /// Fraction of the link that request bodies may use; responses, lookups and
    /// control messages need the rest.
    double link_body_share_ = 0.8;
    /// Longest time for which bodies in transfer may occupy the link, which
    /// bounds the delay of other traffic.
    std::chrono::milliseconds link_grant_{150};
    /// Most idempotency records. A record takes about 100 bytes.
    std::size_t idempotency_limit_ = 65'536;
    /// Fraction of the records that one account may hold.
    double idempotency_account_share_ = 0.5;
    /// Age at which the record of a finished request is dropped.
    std::chrono::seconds idempotency_age_{600};
};

} // namespace hemlockshelf

#endif
