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

/// When the next exchange of digests is due, within the own failure domain and
/// with another one.
struct repair_schedule
{
    steady_time next_local_;
    steady_time next_cross_;
    /// Longest time until the contact after the next one. It doubles with each
    /// contact after `shorten_intervals` and then has no effect.
    std::chrono::milliseconds local_limit_ = std::chrono::milliseconds::max();
    std::chrono::milliseconds cross_limit_ = std::chrono::milliseconds::max();
};

/// Makes both kinds due soon, and then at intervals that double up to the
/// ordinary ones. Nodes that join together each get records from peers that do
/// not know the others yet, and the announcement of each misses those that its
/// sender does not know.
void shorten_intervals(repair_schedule& schedule, steady_time now);

/// Returns a time near `interval`; `random` spreads it over 0.75 to 1.25 of the
/// interval, so that nodes started together do not act together.
std::chrono::nanoseconds
jittered(std::chrono::milliseconds interval, std::uint64_t random);

/// Returns a time near `interval` from now, spread in the same way.
steady_time jittered(
    steady_time now, std::chrono::milliseconds interval, std::uint64_t random);

/// Exchanges that are due.
struct due_repairs
{
    bool local_ = false;
    bool cross_ = false;
};

/// Returns what is due and plans the next.
due_repairs take_due_repairs(
    repair_schedule& schedule,
    steady_time now,
    const dissemination_settings& settings,
    std::uint64_t random);

/// Chooses one of the peers; nothing if there is none.
std::optional<vm_id>
choose_peer(const std::vector<vm_id>& peers, std::uint64_t random);

} // namespace hemlockshelf

#endif
