#include "node/reader_duty.hpp"

#include <algorithm>

namespace hemlockshelf {

namespace {

// Three heartbeats. A revision is to be in force within 3 s.
constexpr std::chrono::milliseconds isolation_limit{1500};

// A push reaches a failure domain of 25 nodes within this time.
constexpr std::chrono::milliseconds delay_per_place{150};
constexpr std::size_t last_place = 4;

} // namespace

bool is_isolated(std::chrono::nanoseconds silence)
{
    return silence >= isolation_limit;
}

poll_mode choose_poll_mode(const reader_situation& situation)
{
    if (situation.place_ || is_isolated(situation.silence_))
    {
        return poll_mode::follow;
    }
    return situation.platform_lost_ ? poll_mode::head_only : poll_mode::off;
}

std::chrono::milliseconds push_delay(std::optional<std::size_t> place)
{
    const auto turns = std::min(place.value_or(last_place), last_place);
    return delay_per_place * static_cast<int>(turns);
}

} // namespace hemlockshelf
