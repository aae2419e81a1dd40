#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_RELAY_LISTENER_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_RELAY_LISTENER_HPP

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "adapters/http/call_threads.hpp"
#include "adapters/http/endpoint.hpp"
#include "adapters/http/relay_session.hpp"

namespace hemlockshelf {

/// Accepts connections and distributes them over the event loops of the call
/// threads.
class relay_listener
{
public:
    using session_factory = std::function<std::shared_ptr<relay_session>(
        http_connection::socket_type)>;

    /// Listens on `where`. Throws `boost::system::system_error` if the address
    /// can't be bound.
    relay_listener(
        call_threads& threads, const endpoint& where, session_factory make);

    /// Returns the listening port.
    [[nodiscard]] std::uint16_t port() const;

    /// Stops accepting connections. May be called from any thread.
    void close();

private:
    boost::asio::awaitable<void> accept_loop();

    call_threads& threads_;
    boost::asio::ip::tcp::acceptor acceptor_;
    session_factory make_session_;
};

} // namespace hemlockshelf

#endif
