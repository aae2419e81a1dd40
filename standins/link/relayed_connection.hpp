#ifndef HEMLOCKSHELF_STANDINS_LINK_RELAYED_CONNECTION_HPP
#define HEMLOCKSHELF_STANDINS_LINK_RELAYED_CONNECTION_HPP

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "standins/link/link_network.hpp"

namespace hemlockshelf {

/// One connection through the relay. Its coroutines keep it alive. Not
/// thread-safe.
class relayed_connection
    : public std::enable_shared_from_this<relayed_connection>
{
public:
    relayed_connection(
        link_network& network,
        const link_listener& listener,
        boost::asio::ip::tcp::socket caller);

    /// Connects to the target and starts to relay.
    void start();

    /// Resets both sockets if the link between them is cut, and drops all
    /// further traffic in silent directions.
    void apply_faults();

    /// Drops all further traffic in both directions if `rule` applies.
    void silence(const link_rule& rule);

private:
    struct chunk
    {
        link_network::time_point arrives_at_;
        std::string bytes_;
    };

    /// One direction of the connection.
    struct direction
    {
        direction(
            boost::asio::ip::tcp::socket& source,
            boost::asio::ip::tcp::socket& sink,
            link_location from,
            link_location to);

        boost::asio::ip::tcp::socket& source_;
        boost::asio::ip::tcp::socket& sink_;
        link_location from_;
        link_location to_;
        std::deque<chunk> queue_;
        std::size_t queued_bytes_ = 0;
        bool ended_ = false;
        /// Never cleared, because dropped bytes leave a gap in the stream.
        bool silent_ = false;
        boost::asio::steady_timer state_changed_;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> read_loop(direction& way);
    boost::asio::awaitable<void> write_loop(direction& way);
    boost::asio::awaitable<void> wait_for_queue_space(direction& way);
    boost::asio::awaitable<void>
    wait_until(direction& way, link_network::time_point until);
    void spawn_loops(direction& way);
    void enqueue(direction& way, std::string bytes);
    /// Handles a failed write to the sink: resets the connection, or only
    /// silences this direction if the opposite one is silent.
    void handle_sink_failure(direction& way);
    void reset();

    link_network& network_;
    link_listener listener_;
    boost::asio::ip::tcp::socket caller_;
    boost::asio::ip::tcp::socket target_;
    direction forward_;
    direction backward_;
    bool was_reset_ = false;
};

} // namespace hemlockshelf

#endif
