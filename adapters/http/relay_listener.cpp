#include "adapters/http/relay_listener.hpp"

#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapters/http/tcp_endpoint.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

// Delay after a failed accept. Without it, a lack of file descriptors would
// keep the thread in a busy loop.
constexpr std::chrono::milliseconds accept_retry_delay{50};

} // namespace

relay_listener::relay_listener(
    call_threads& threads, const endpoint& where, session_factory make)
    : threads_(threads), acceptor_(threads.first(), to_tcp(where)),
      make_session_(std::move(make))
{
    asio::co_spawn(threads_.first(), accept_loop(), asio::detached);
}

std::uint16_t relay_listener::port() const
{
    return acceptor_.local_endpoint().port();
}

void relay_listener::close()
{
    asio::post(
        acceptor_.get_executor(),
        [this]
        {
            boost::system::error_code ignored;
            acceptor_.close(ignored);
        });
}

asio::awaitable<void> relay_listener::accept_loop()
{
    while (acceptor_.is_open())
    {
        boost::system::error_code failure;
        tcp::socket socket(threads_.next());
        co_await acceptor_.async_accept(
            socket, asio::redirect_error(asio::use_awaitable, failure));
        if (!failure)
        {
            relay_session::start(make_session_(std::move(socket)));
            continue;
        }
        asio::steady_timer timer(acceptor_.get_executor(), accept_retry_delay);
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, failure));
    }
}

} // namespace hemlockshelf
