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
    const auto same_executor = std::find_if(
        connections_.rbegin(), connections_.rend(),
        [&](const idle_connection& idle)
        {
            return idle.connection_->socket().get_executor() == executor;
        });
    const bool must_move = same_executor == connections_.rend();
    const auto at = must_move ? std::prev(connections_.end())
                              : std::prev(same_executor.base());
    auto connection = std::move(at->connection_);
    connections_.erase(at);
    if (connection->probe() != connection_readiness::idle)
    {
        return nullptr;
    }
    if (must_move)
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
    connections_.push_back({std::move(connection), now});
    const auto surplus =
        connections_.size() > limit ? connections_.size() - limit : 0;
    connections_.erase(
        connections_.begin(),
        connections_.begin() + static_cast<std::ptrdiff_t>(surplus));
    return surplus;
}

std::size_t
idle_connections::close_aged(steady_time now, std::chrono::nanoseconds age)
{
    return std::erase_if(
        connections_,
        [&](const idle_connection& idle)
        {
            return now - idle.since_ > age;
        });
}

std::size_t idle_connections::close_all()
{
    const auto count = connections_.size();
    connections_.clear();
    return count;
}

} // namespace hemlockshelf
