#include "hemlockshelf/dissemination/repair_schedule.hpp"

namespace hemlockshelf {

namespace {

constexpr std::uint64_t jitter_steps = 1024;

} // namespace

steady_time jittered(
    steady_time now, std::chrono::milliseconds interval, std::uint64_t random)
{
    const auto step = static_cast<std::int64_t>(random % jitter_steps);
    const std::chrono::nanoseconds whole = interval;
    return now + whole * 3 / 4 +
           whole / 2 * step / static_cast<std::int64_t>(jitter_steps);
}

due_repairs take_due(
    repair_schedule& schedule,
    steady_time now,
    const dissemination_settings& settings,
    std::uint64_t random)
{
    due_repairs due;
    if (now >= schedule.next_local_)
    {
        due.local_ = true;
        schedule.next_local_ = jittered(now, settings.repair_interval_, random);
    }
    if (now >= schedule.next_cross_)
    {
        due.cross_ = true;
        schedule.next_cross_ =
            jittered(now, settings.cross_domain_interval_, random / 7);
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
