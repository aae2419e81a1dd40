#include "node/poll_schedule.hpp"

#include <algorithm>

#include "hemlockshelf/dissemination/repair_schedule.hpp"

namespace hemlockshelf {

namespace {

// Limits the delay to 4 intervals (2 s by default). A node without peers waits
// for the platform, so the delay adds to its start time after an outage.
constexpr std::uint32_t max_doublings = 2;

} // namespace

std::chrono::milliseconds next_poll_delay(
    poll_mode mode,
    std::chrono::milliseconds interval,
    std::uint32_t polls,
    random_source& random)
{
    if (mode != poll_mode::head_only)
    {
        return interval;
    }
    const auto middle = interval * (1U << std::min(polls, max_doublings));
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        jittered(middle, random()));
}

} // namespace hemlockshelf
