#include "standins/link/relay.hpp"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapters/http/tcp_endpoint.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// Closed connections are removed from the list whenever its size reaches a
/// multiple of this number.
constexpr std::size_t sweep_interval = 1024;

} // namespace

relay::relay(asio::io_context& context, const link_settings& settings)
    : network_(settings)
{
    for (const auto& listener : settings.listeners_)
    {
        acceptors_.emplace_back(context, to_tcp(listener.listen_));
        asio::co_spawn(
            context, accept_loop(acceptors_.back(), listener), asio::detached);
    }
}

void relay::add_rule(const link_rule& rule)
{
    network_.add_rule(rule);
    for (const auto& connection : open_connections())
    {
        connection->apply_faults();
    }
}

void relay::silence_open(const link_rule& rule)
{
    for (const auto& connection : open_connections())
    {
        connection->silence(rule);
    }
}

const link_network& relay::network() const
{
    return network_;
}

asio::awaitable<void>
relay::accept_loop(tcp::acceptor& acceptor, link_listener listener)
{
    while (acceptor.is_open())
    {
        boost::system::error_code failure;
        tcp::socket socket(acceptor.get_executor());
        co_await acceptor.async_accept(
            socket, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            continue;
        }
        auto connection = std::make_shared<relayed_connection>(
            network_, listener, std::move(socket));
        connections_.push_back(connection);
        connection->start();
        if (connections_.size() % sweep_interval == 0)
        {
            open_connections();
        }
    }
}

std::vector<std::shared_ptr<relayed_connection>> relay::open_connections()
{
    std::vector<std::shared_ptr<relayed_connection>> open;
    for (const auto& connection : connections_)
    {
        if (auto locked = connection.lock())
        {
            open.push_back(std::move(locked));
        }
    }
    connections_.assign(open.begin(), open.end());
    return open;
}

} // namespace hemlockshelf
