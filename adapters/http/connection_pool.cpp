#include "adapters/http/connection_pool.hpp"

#include <utility>

#include <fmt/format.h>

namespace hemlockshelf {

connection_pool::connection_pool(const call_settings& settings)
    : settings_(settings)
{}

result<connection_lease> connection_pool::take(
    const endpoint& peer,
    std::size_t open_limit,
    const boost::asio::any_io_executor& executor,
    steady_time now)
{
    const std::lock_guard lock(mutex_);
    auto& held = peers_[peer];
    held.idle_.drop_aged(now, settings_.pool_idle_age_);
    while (held.idle_.size() > 0)
    {
        if (auto connection = held.idle_.take(executor))
        {
            ++held.in_use_;
            return connection_lease(*this, peer, std::move(connection), true);
        }
    }
    if (held.in_use_ >= open_limit)
    {
        return make_error(
            error_kind::overloaded, fmt::format(
                                        "{}: all of {} connections are in use",
                                        to_string(peer), open_limit));
    }
    ++held.in_use_;
    return connection_lease(
        *this, peer, make_connection(executor, settings_), false);
}

void connection_pool::release(
    const endpoint& peer,
    std::unique_ptr<http_connection> connection,
    steady_time now)
{
    const std::lock_guard lock(mutex_);
    auto& held = peers_[peer];
    --held.in_use_;
    if (connection != nullptr &&
        connection->probe() == connection_readiness::idle)
    {
        held.idle_.put(std::move(connection), now, settings_.pool_idle_limit_);
    }
}

void connection_pool::close_idle(const endpoint& peer)
{
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(peer);
    if (found != peers_.end())
    {
        found->second.idle_.clear();
    }
}

void connection_pool::close_aged(steady_time now)
{
    const std::lock_guard lock(mutex_);
    for (auto at = peers_.begin(); at != peers_.end();)
    {
        auto& held = at->second;
        held.idle_.drop_aged(now, settings_.pool_idle_age_);
        const bool empty = held.in_use_ == 0 && held.idle_.size() == 0;
        at = empty ? peers_.erase(at) : std::next(at);
    }
}

std::size_t connection_pool::open(const endpoint& peer) const
{
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(peer);
    return found == peers_.end()
               ? 0
               : found->second.in_use_ + found->second.idle_.size();
}

void connection_pool::close_all()
{
    const std::lock_guard lock(mutex_);
    for (auto& entry : peers_)
    {
        entry.second.idle_.clear();
    }
}

} // namespace hemlockshelf
