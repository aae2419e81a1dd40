#include "adapters/node/poll_schedule.hpp"

#include <algorithm>

namespace hemlockshelf {

namespace {

// A node without peers waits for the platform; 4 intervals (2 s by default)
// bound what an outage adds to its start.
constexpr std::uint32_t max_doublings = 2;
// The delay lies between 0.75 and 1.25 of its middle.
constexpr double least_share = 0.75;
constexpr double spread = 0.5;

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
    const auto share = least_share + spread * random_fraction(random);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        middle * share);
}

} // namespace hemlockshelf
