#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_IDLE_CONNECTIONS_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_IDLE_CONNECTIONS_HPP

#include <chrono>
#include <cstddef>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "adapters/http/call_settings.hpp"
#include "adapters/http/http_connection.hpp"
#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// Creates a connection that is not open yet.
std::unique_ptr<http_connection> make_connection(
    const boost::asio::any_io_executor& executor,
    const call_settings& settings);

/// Idle connections to one peer, kept for reuse. Not thread-safe.
class idle_connections
{
public:
    /// Removes a connection and returns it, preferably one of `executor`. A
    /// connection of another event loop is moved to `executor`, so that its use
    /// involves no other thread. Null if the connection had unread bytes or was
    /// closed by the peer; it is closed then. Must not be called if empty.
    std::unique_ptr<http_connection>
    take(const boost::asio::any_io_executor& executor);

    /// Adds a connection; closes the oldest if there are more than `limit`.
    /// Returns the number of connections closed.
    std::size_t
    put(std::unique_ptr<http_connection> connection,
        steady_time now,
        std::size_t limit);

    /// Closes the connections older than `age` and returns their number.
    std::size_t close_aged(steady_time now, std::chrono::nanoseconds age);

    /// Closes every connection and returns their number.
    std::size_t close_all();

    [[nodiscard]] std::size_t size() const noexcept
    {
        return connections_.size();
    }

private:
    struct idle_connection
    {
        std::unique_ptr<http_connection> connection_;
        steady_time since_;
    };

    /// Sorted by age, oldest first.
    std::vector<idle_connection> connections_;
};

} // namespace hemlockshelf

#endif
