#include "hemlockshelf/gate/connection_counts.hpp"

#include <algorithm>

namespace hemlockshelf {

namespace {

std::uint32_t open_connections(const connection_counts& counts)
{
    return counts.in_use_ + counts.idle_;
}

} // namespace

connection_decision
acquire_connection(connection_counts& counts, token_rate pace, steady_time now)
{
    const auto limit = counts.limit_.value();
    if (counts.in_use_ >= limit)
    {
        return {connection_action::exhausted, {}};
    }
    if (counts.idle_ > 0)
    {
        --counts.idle_;
        ++counts.in_use_;
        return {connection_action::reuse, {}};
    }
    if (!try_take(counts.pace_, pace, now))
    {
        return {
            connection_action::wait, next_token_at(counts.pace_, pace, now)};
    }
    ++counts.in_use_;
    return {connection_action::open, {}};
}

bool release_connection(connection_counts& counts, bool reusable)
{
    if (counts.in_use_ == 0)
    {
        return false;
    }
    const bool keep =
        reusable && open_connections(counts) <= counts.limit_.value();
    --counts.in_use_;
    counts.idle_ += keep ? 1 : 0;
    return keep;
}

bool drop_idle_connection(connection_counts& counts)
{
    if (counts.idle_ == 0)
    {
        return false;
    }
    --counts.idle_;
    return true;
}

std::uint32_t surplus_connections(const connection_counts& counts)
{
    const auto limit = counts.limit_.value();
    const auto open = open_connections(counts);
    return open > limit ? std::min(open - limit, counts.idle_) : 0;
}

} // namespace hemlockshelf
