#ifndef HEMLOCKSHELF_DISSEMINATION_REPAIR_SCHEDULE_HPP
#define HEMLOCKSHELF_DISSEMINATION_REPAIR_SCHEDULE_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/dissemination/dissemination_settings.hpp"

namespace hemlockshelf {

/// Times of the next digest exchanges within the local failure domain and with
/// another one.
struct repair_schedule
{
    steady_time next_local_;
    steady_time next_cross_;
    /// Upper limits of the interval after the next exchange. After
    /// `shorten_intervals` they double with each exchange until they exceed the
    /// configured intervals and have no effect.
    std::chrono::milliseconds local_limit_ = std::chrono::milliseconds::max();
    std::chrono::milliseconds cross_limit_ = std::chrono::milliseconds::max();
};

/// Makes both exchanges due soon, and then at intervals that double up to the
/// configured ones. Nodes that join at the same time get their records from
/// peers that do not know the other new nodes yet, and the push that announces
/// each new node does not reach members that its sender does not know.
void shorten_intervals(repair_schedule& schedule, steady_time now);

/// Returns `interval` with jitter: 0.75 to 1.25 times its length, selected by
/// `random`, so that nodes started together do not stay synchronized.
std::chrono::nanoseconds
jittered(std::chrono::milliseconds interval, std::uint64_t random);

/// Returns the time `interval` after `now`, with the same jitter.
steady_time jittered(
    steady_time now, std::chrono::milliseconds interval, std::uint64_t random);

/// Exchanges that are due.
struct due_repairs
{
    bool local_ = false;
    bool cross_ = false;
};

/// Returns the exchanges that are due and schedules the next ones.
due_repairs take_due_repairs(
    repair_schedule& schedule,
    steady_time now,
    const dissemination_settings& settings,
    std::uint64_t random);

/// Selects one of the peers by `random`. Returns nullopt if there is none.
std::optional<vm_id>
choose_peer(const std::vector<vm_id>& peers, std::uint64_t random);

} // namespace hemlockshelf

#endif
