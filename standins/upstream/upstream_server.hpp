#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_SERVER_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_SERVER_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "standins/upstream/announcer.hpp"
#include "standins/upstream/upstream_logs.hpp"
#include "standins/upstream/upstream_state.hpp"

namespace hemlockshelf {

/// Server of the stand-in: accepts connections, announces itself, writes the
/// logs and drains. Requires an `io_context` that one thread runs.
class upstream_server
{
public:
    /// Starts to listen. Throws `boost::system::system_error` if the address
    /// can't be bound, and `std::ios_base::failure` if the outcome log can't be
    /// opened.
    upstream_server(
        boost::asio::io_context& context, const upstream_settings& settings);

    /// Announces that the upstream drains; requests that still arrive are
    /// served. With `stop`, stops the context once no request is running.
    void drain(bool stop);

    /// Announces that the upstream is ready again.
    void resume();

    [[nodiscard]] const upstream_state& state() const
    {
        return state_;
    }

private:
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> stop_when_idle();

    boost::asio::io_context& context_;
    upstream_state state_;
    upstream_logs logs_;
    boost::asio::ip::tcp::acceptor acceptor_;
    announcer announcer_;
};

} // namespace hemlockshelf

#endif
