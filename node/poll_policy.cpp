#include "node/poll_policy.hpp"

#include <algorithm>

namespace hemlockshelf {

namespace {

// Three heartbeat intervals. A revision must take effect within 3 s.
constexpr std::chrono::milliseconds isolation_limit{1500};

// A push reaches a failure domain of 25 nodes within this time.
constexpr std::chrono::milliseconds delay_per_rank{150};
constexpr std::size_t last_rank = 4;

} // namespace

bool is_isolated(std::chrono::nanoseconds time_since_contact)
{
    return time_since_contact >= isolation_limit;
}

poll_mode choose_poll_mode(const reader_status& status)
{
    if (status.rank_ || is_isolated(status.time_since_contact_))
    {
        return poll_mode::follow;
    }
    return status.platform_lost_ ? poll_mode::head_only : poll_mode::off;
}

std::chrono::milliseconds push_delay(std::optional<std::size_t> rank)
{
    const auto turns = std::min(rank.value_or(last_rank), last_rank);
    return delay_per_rank * static_cast<int>(turns);
}

} // namespace hemlockshelf
