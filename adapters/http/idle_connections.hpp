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

/// Makes a connection that is not open yet.
std::unique_ptr<http_connection> make_connection(
    const boost::asio::any_io_executor& executor,
    const call_settings& settings);

/// Connections to one peer that wait for their next exchange. Not thread-safe.
class idle_connections
{
public:
    /// Removes a connection and returns it, preferably one of `executor`. One
    /// of another loop is moved to `executor`, so that its use needs no other
    /// thread. Null if the connection showed bytes or its end, in which case
    /// it is closed. Not to be called if empty.
    std::unique_ptr<http_connection>
    take(const boost::asio::any_io_executor& executor);

    /// Adds a connection; closes the oldest if there are more than `limit`.
    /// Returns the number of connections closed.
    std::size_t
    put(std::unique_ptr<http_connection> connection,
        steady_time now,
        std::size_t limit);

    /// Closes the connections older than `age` and returns their number.
    std::size_t drop_aged(steady_time now, std::chrono::nanoseconds age);

    /// Closes every connection and returns their number.
    std::size_t clear();

    [[nodiscard]] std::size_t size() const noexcept
    {
        return held_.size();
    }

private:
    struct idle_connection
    {
        std::unique_ptr<http_connection> connection_;
        steady_time since_;
    };

    /// Oldest first.
    std::vector<idle_connection> held_;
};

} // namespace hemlockshelf

#endif
