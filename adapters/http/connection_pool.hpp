#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_CONNECTION_POOL_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_CONNECTION_POOL_HPP

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>

#include <boost/asio/any_io_executor.hpp>

#include "adapters/http/call_settings.hpp"
#include "adapters/http/connection_lease.hpp"
#include "adapters/http/endpoint.hpp"
#include "adapters/http/idle_connections.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Outgoing connections by peer. Never has more connections to a peer in use
/// than the limit that the caller passes. Thread-safe; must outlive its leases.
class connection_pool final : public connection_owner
{
public:
    explicit connection_pool(const call_settings& settings);

    /// Takes an idle connection, or a new one that is not open yet. The error
    /// is `overloaded` if `open_limit` connections to the peer are in use. An
    /// idle connection that has unread bytes, was closed by the peer or is too
    /// old is closed instead of reused.
    result<connection_lease> take(
        const endpoint& peer,
        std::size_t open_limit,
        const boost::asio::any_io_executor& executor,
        steady_time now);

    void release(
        const endpoint& peer,
        std::unique_ptr<http_connection> connection,
        steady_time now) override;

    /// Closes the idle connections to a peer, after one of its connections was
    /// silent for too long.
    void close_idle(const endpoint& peer);

    /// Closes all idle connections that are too old.
    void close_aged(steady_time now);

    /// Returns the number of connections to a peer, in use and idle.
    [[nodiscard]] std::size_t open(const endpoint& peer) const;

    /// Closes every idle connection.
    void close_all();

private:
    struct peer_connections
    {
        std::size_t in_use_ = 0;
        idle_connections idle_;
    };

    const call_settings& settings_;
    mutable std::mutex mutex_;
    std::map<endpoint, peer_connections> peers_;
};

} // namespace hemlockshelf

#endif
