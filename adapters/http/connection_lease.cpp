#include "adapters/http/connection_lease.hpp"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <netinet/in.h>

#include "adapters/http/tcp_endpoint.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

using bind_without_port =
    asio::detail::socket_option::integer<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;

error_code open_socket(tcp::socket& socket, const std::string& source)
{
    error_code failure;
    socket.open(tcp::v4(), failure);
    if (failure)
    {
        return failure;
    }
    socket.set_option(tcp::no_delay(true), failure);
    if (source.empty())
    {
        return failure;
    }
    // The system then chooses the port when it knows the peer, so that the
    // ports of one source address are not used up.
    socket.set_option(bind_without_port(1), failure);
    const auto address = asio::ip::make_address_v4(source, failure);
    if (!failure)
    {
        socket.bind(tcp::endpoint(address, 0), failure);
    }
    return failure;
}

} // namespace

connection_lease::connection_lease(
    connection_owner& owner,
    endpoint peer,
    std::unique_ptr<http_connection> connection,
    bool reused)
    : owner_(&owner), peer_(std::move(peer)),
      connection_(std::move(connection)), reused_(reused)
{}

connection_lease::connection_lease(connection_lease&& other) noexcept
    : owner_(std::exchange(other.owner_, nullptr)),
      peer_(std::move(other.peer_)), connection_(std::move(other.connection_)),
      reused_(other.reused_)
{}

connection_lease& connection_lease::operator=(connection_lease&& other) noexcept
{
    if (this != &other)
    {
        discard();
        owner_ = std::exchange(other.owner_, nullptr);
        peer_ = std::move(other.peer_);
        connection_ = std::move(other.connection_);
        reused_ = other.reused_;
    }
    return *this;
}

connection_lease::~connection_lease()
{
    discard();
}

asio::awaitable<result<void>> connection_lease::connect(std::string source)
{
    auto& socket = connection_->socket();
    error_code failure = open_socket(socket, source);
    const auto server = to_tcp(peer_);
    if (!failure)
    {
        co_await socket.async_connect(
            server, asio::redirect_error(asio::use_awaitable, failure));
    }
    if (failure)
    {
        co_return make_error(
            error_kind::unreachable,
            fmt::format("{}: {}", to_string(peer_), failure.message()));
    }
    co_return result<void>{};
}

void connection_lease::return_to_owner(steady_time now)
{
    if (owner_ != nullptr)
    {
        std::exchange(owner_, nullptr)
            ->release(peer_, std::move(connection_), now);
    }
}

void connection_lease::discard()
{
    if (owner_ != nullptr)
    {
        connection_->close();
        connection_.reset();
        std::exchange(owner_, nullptr)->release(peer_, nullptr, {});
    }
}

} // namespace hemlockshelf
