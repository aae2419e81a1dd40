#include "adapters/http/idle_connections.hpp"

#include <algorithm>
#include <utility>

namespace hemlockshelf {

std::unique_ptr<http_connection> make_connection(
    const boost::asio::any_io_executor& executor, const call_settings& settings)
{
    return std::make_unique<http_connection>(
        http_connection::socket_type(executor), settings.max_header_bytes_);
}

std::unique_ptr<http_connection>
idle_connections::take(const boost::asio::any_io_executor& executor)
{
    const auto own = std::find_if(
        held_.rbegin(), held_.rend(),
        [&](const idle_connection& idle)
        {
            return idle.connection_->socket().get_executor() == executor;
        });
    const bool foreign = own == held_.rend();
    const auto at = foreign ? std::prev(held_.end()) : std::prev(own.base());
    auto connection = std::move(at->connection_);
    held_.erase(at);
    if (connection->probe() != connection_readiness::idle)
    {
        return nullptr;
    }
    if (foreign)
    {
        connection->move_to(executor);
    }
    return connection;
}

std::size_t idle_connections::put(
    std::unique_ptr<http_connection> connection,
    steady_time now,
    std::size_t limit)
{
    held_.push_back({std::move(connection), now});
    const auto surplus = held_.size() > limit ? held_.size() - limit : 0;
    held_.erase(
        held_.begin(), held_.begin() + static_cast<std::ptrdiff_t>(surplus));
    return surplus;
}

std::size_t
idle_connections::drop_aged(steady_time now, std::chrono::nanoseconds age)
{
    return std::erase_if(
        held_,
        [&](const idle_connection& idle)
        {
            return now - idle.since_ > age;
        });
}

std::size_t idle_connections::clear()
{
    const auto count = held_.size();
    held_.clear();
    return count;
}

} // namespace hemlockshelf
