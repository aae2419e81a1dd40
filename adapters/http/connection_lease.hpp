#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_CONNECTION_LEASE_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_CONNECTION_LEASE_HPP

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "adapters/http/endpoint.hpp"
#include "adapters/http/http_connection.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Counts outgoing connections and keeps the idle ones.
class connection_owner
{
public:
    virtual ~connection_owner() = default;

    /// Takes a connection back; null if it was closed.
    virtual void release(
        const endpoint& peer,
        std::unique_ptr<http_connection> connection,
        steady_time now) = 0;

protected:
    connection_owner() = default;
    connection_owner(const connection_owner&) = default;
    connection_owner& operator=(const connection_owner&) = default;
};

/// A connection in use, counted by its owner until the lease ends. It is
/// closed then unless `return_to_owner` was called.
class connection_lease
{
public:
    connection_lease() = default;
    connection_lease(
        connection_owner& owner,
        endpoint peer,
        std::unique_ptr<http_connection> connection,
        bool reused);
    connection_lease(connection_lease&& other) noexcept;
    connection_lease& operator=(connection_lease&& other) noexcept;
    connection_lease(const connection_lease&) = delete;
    connection_lease& operator=(const connection_lease&) = delete;
    ~connection_lease();

    [[nodiscard]] http_connection& connection() const
    {
        return *connection_;
    }

    [[nodiscard]] const endpoint& peer() const noexcept
    {
        return peer_;
    }

    /// Whether the connection carried an exchange before.
    [[nodiscard]] bool reused() const noexcept
    {
        return reused_;
    }

    /// Opens the connection that the lease stands for, from `source`, or from
    /// any local address if that is empty. `unreachable` if that fails or is
    /// interrupted.
    boost::asio::awaitable<result<void>> connect(std::string source);

    /// Returns the connection to its owner. Only for a connection whose last
    /// exchange is complete in both directions.
    void return_to_owner(steady_time now);

    /// Closes the connection and ends the lease.
    void discard();

private:
    connection_owner* owner_ = nullptr;
    endpoint peer_;
    std::unique_ptr<http_connection> connection_;
    bool reused_ = false;
};

} // namespace hemlockshelf

#endif
