#include "hemlockshelf/gate/connection_counts.hpp"

#include <algorithm>

namespace hemlockshelf {

namespace {

std::uint32_t open_connections(const connection_counts& ledger)
{
    return ledger.in_use_ + ledger.idle_;
}

} // namespace

connection_decision
acquire_connection(connection_counts& ledger, token_rate pace, steady_time now)
{
    const auto limit = ledger.limit_.value();
    if (ledger.in_use_ >= limit)
    {
        return {connection_action::exhausted, {}};
    }
    if (ledger.idle_ > 0)
    {
        --ledger.idle_;
        ++ledger.in_use_;
        return {connection_action::reuse, {}};
    }
    if (!try_take(ledger.pace_, pace, now))
    {
        return {
            connection_action::wait, next_token_at(ledger.pace_, pace, now)};
    }
    ++ledger.in_use_;
    return {connection_action::open, {}};
}

bool release_connection(connection_counts& ledger, bool reusable)
{
    if (ledger.in_use_ == 0)
    {
        return false;
    }
    const bool keep =
        reusable && open_connections(ledger) <= ledger.limit_.value();
    --ledger.in_use_;
    ledger.idle_ += keep ? 1 : 0;
    return keep;
}

bool drop_idle_connection(connection_counts& ledger)
{
    if (ledger.idle_ == 0)
    {
        return false;
    }
    --ledger.idle_;
    return true;
}

std::uint32_t surplus_connections(const connection_counts& ledger)
{
    const auto limit = ledger.limit_.value();
    const auto open = open_connections(ledger);
    return open > limit ? std::min(open - limit, ledger.idle_) : 0;
}

} // namespace hemlockshelf
