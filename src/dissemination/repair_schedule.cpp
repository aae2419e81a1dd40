#include "hemlockshelf/dissemination/repair_schedule.hpp"

#include <algorithm>

namespace hemlockshelf {

namespace {

constexpr std::uint64_t jitter_steps = 1024;

// With doubling, five contacts of each kind follow in the first 6.2 s. Each
// contact exchanges in both directions, so that the number of nodes which know
// a record doubles with each round.
constexpr std::chrono::milliseconds first_interval{200};

// Returns the interval until the next contact and doubles the limit.
std::chrono::milliseconds
take_interval(std::chrono::milliseconds& limit, std::chrono::milliseconds usual)
{
    const auto interval = std::min(limit, usual);
    limit = 2 * interval;
    return interval;
}

} // namespace

void shorten_intervals(repair_schedule& schedule, steady_time now)
{
    schedule.next_local_ = now + first_interval;
    schedule.next_cross_ = now + first_interval;
    schedule.local_limit_ = 2 * first_interval;
    schedule.cross_limit_ = 2 * first_interval;
}

std::chrono::nanoseconds
jittered(std::chrono::milliseconds interval, std::uint64_t random)
{
    const auto step = static_cast<std::int64_t>(random % jitter_steps);
    const std::chrono::nanoseconds whole = interval;
    return whole * 3 / 4 +
           whole / 2 * step / static_cast<std::int64_t>(jitter_steps);
}

steady_time jittered(
    steady_time now, std::chrono::milliseconds interval, std::uint64_t random)
{
    return now + jittered(interval, random);
}

due_repairs take_due_repairs(
    repair_schedule& schedule,
    steady_time now,
    const dissemination_settings& settings,
    std::uint64_t random)
{
    due_repairs due;
    if (now >= schedule.next_local_)
    {
        due.local_ = true;
        schedule.next_local_ = jittered(
            now,
            take_interval(schedule.local_limit_, settings.repair_interval_),
            random);
    }
    if (now >= schedule.next_cross_)
    {
        due.cross_ = true;
        schedule.next_cross_ = jittered(
            now,
            take_interval(
                schedule.cross_limit_, settings.cross_domain_interval_),
            random / 7);
    }
    return due;
}

std::optional<vm_id>
choose_peer(const std::vector<vm_id>& peers, std::uint64_t random)
{
    if (peers.empty())
    {
        return std::nullopt;
    }
    return peers[random % peers.size()];
}

} // namespace hemlockshelf
