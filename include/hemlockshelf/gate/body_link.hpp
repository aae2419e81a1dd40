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

/// Bytes of a body after whose arrival the gate is told. A link of 7 Mbit/s
/// brings them in 37 ms, by which the expected wait can be too long; a shorter
/// part would cost the gate's lock more often.
inline constexpr std::uint64_t body_progress_step = std::uint64_t{32} * 1024;

/// The VM's link as a resource of the gate. Bodies of requests that arrive at
/// once share it, so that each is late; and what else crosses it, such as
/// lookups and heartbeats, waits behind them. The gate therefore lets only so
/// many bytes be on their way as the link carries in a short time.
struct body_link
{
    explicit body_link(const gate_settings& settings);

    /// Bytes a second that bodies may use; 0 if the link's capacity is not
    /// known, which grants every body.
    double bytes_per_second_ = 0;
    /// Bytes that may be on their way at once, beyond a first body.
    std::uint64_t grant_limit_ = 0;
    /// Bytes that were granted and have not arrived.
    std::uint64_t granted_ = 0;
    /// Mean size of the bodies of each kind of work.
    std::map<work_kind, double> mean_bytes_;
};

/// Returns the bytes of the call's body that are counted on the link: the mean
/// of its kind if the call does not say, 64 KiB until one of the kind has
/// arrived; 0 if none is awaited or it is short.
std::uint64_t body_bytes(const body_link& link, const gate_call& call);

/// Returns whether the arrival of the call's body is to be reported: one is
/// awaited and is not known to be short.
bool reports_body_arrival(const gate_call& call);

/// Returns whether the call's body is known to be so long that an operator
/// wants to see it.
bool has_long_body(const gate_call& call);

/// Returns whether a body of that size may begin now.
bool has_room(const body_link& link, std::uint64_t bytes);

/// Returns the time that the link takes for so many bytes.
std::chrono::nanoseconds
transfer_time(const body_link& link, std::uint64_t bytes);

/// Returns the time within which a body that begins now should have arrived.
/// One that takes longer is held up elsewhere and must not keep the link from
/// others.
std::chrono::nanoseconds
transfer_limit(const body_link& link, std::uint64_t bytes);

/// Learns the size of a body that has arrived.
void learn_body(body_link& link, const gate_call& call, std::uint64_t bytes);

} // namespace hemlockshelf

#endif
