#ifndef HEMLOCKSHELF_STANDINS_LINK_RELAY_HPP
#define HEMLOCKSHELF_STANDINS_LINK_RELAY_HPP

#include <list>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "standins/link/link_network.hpp"
#include "standins/link/relayed_connection.hpp"

namespace hemlockshelf {

/// Relays TCP connections for a list of listeners. Not thread-safe.
class relay
{
public:
    /// Binds every listener. Throws `boost::system::system_error` if an
    /// address can't be bound.
    relay(boost::asio::io_context& context, const link_settings& settings);

    /// Sets the mode of links, for open connections too.
    void add_rule(const link_rule& rule);

    /// Permanently silences the connections that are open on the rule's links.
    /// New connections are not affected.
    void silence_open(const link_rule& rule);

    [[nodiscard]] const link_network& network() const;

private:
    boost::asio::awaitable<void> accept_loop(
        boost::asio::ip::tcp::acceptor& acceptor, link_listener listener);
    std::vector<std::shared_ptr<relayed_connection>> open_connections();

    link_network network_;
    std::list<boost::asio::ip::tcp::acceptor> acceptors_;
    std::vector<std::weak_ptr<relayed_connection>> connections_;
};

} // namespace hemlockshelf

#endif
