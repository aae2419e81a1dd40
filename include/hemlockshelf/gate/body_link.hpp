#ifndef HEMLOCKSHELF_GATE_BODY_LINK_HPP
#define HEMLOCKSHELF_GATE_BODY_LINK_HPP

#include <chrono>
#include <cstdint>
#include <map>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/gate/gate_call.hpp"
#include "hemlockshelf/gate/gate_settings.hpp"

namespace hemlockshelf {

/// Interval, in bytes of a body, at which its progress is reported to the gate.
/// A link of 7 Mbit/s transfers this in 37 ms, by which the expected wait can
/// be overestimated. A shorter interval would take the gate's lock more often.
inline constexpr std::uint64_t body_progress_step = std::uint64_t{32} * 1024;

/// The VM's network link as a resource of the gate. Request bodies that are
/// sent at the same time share its bandwidth, which delays each of them, and
/// other traffic such as lookups and heartbeats queues behind them. The gate
/// therefore limits the bytes in transfer to what the link carries in a short
/// time.
struct body_link
{
    explicit body_link(const gate_settings& settings);

    /// Bandwidth for bodies; 0 if the link's capacity is not known, in which
    /// case every body is granted.
    double bytes_per_second_ = 0;
    /// Most bytes that may be in transfer at a time. A single body may exceed
    /// it.
    std::uint64_t grant_limit_ = 0;
    /// Bytes that were granted and have not arrived yet.
    std::uint64_t granted_ = 0;
    /// Mean size of the bodies of each kind of work.
    std::map<work_kind, double> mean_bytes_;
};

/// Returns the bytes that the call's body uses of the link. A body of unknown
/// size counts as the mean of its kind of work, or as 64 KiB until one of that
/// kind has arrived. Returns 0 if no body is awaited or if it is short.
std::uint64_t body_bytes(const body_link& link, const gate_call& call);

/// Returns whether the arrival of the call's body has to be reported: a body is
/// awaited and is not known to be short.
bool reports_body_arrival(const gate_call& call);

/// Returns whether the call's body is known to be long enough to be shown to
/// operators.
bool has_long_body(const gate_call& call);

/// Returns whether the transfer of a body of `bytes` may start now.
bool can_grant(const body_link& link, std::uint64_t bytes);

/// Returns the time in which the link transfers `bytes`.
std::chrono::nanoseconds
transfer_time(const body_link& link, std::uint64_t bytes);

/// Returns the time within which a body whose transfer starts now should have
/// arrived. A body that takes longer is delayed elsewhere and must not keep its
/// share of the link.
std::chrono::nanoseconds
transfer_timeout(const body_link& link, std::uint64_t bytes);

/// Adds the size of a body that has arrived to the mean of its kind of work.
void record_body_size(
    body_link& link, const gate_call& call, std::uint64_t bytes);

} // namespace hemlockshelf

#endif
