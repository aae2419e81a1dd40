#include "adapters/http/http_listener.hpp"

#include <chrono>
#include <cstdint>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include "adapters/http/tcp_endpoint.hpp"
#include "adapters/http/whole_message.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::uint32_t max_header_bytes = 16 * 1024;
constexpr std::chrono::seconds idle_timeout{60};
// Delay after a failed accept. Without it, a lack of file descriptors would
// keep the thread in a busy loop.
constexpr std::chrono::milliseconds accept_retry_delay{50};

} // namespace

http_listener::http_listener(
    asio::io_context& context,
    const endpoint& where,
    http_listener_options options,
    handler handle)
    : context_(context), acceptor_(context, to_tcp(where)), options_(options),
      handle_(std::move(handle))
{
    asio::co_spawn(context_, accept_loop(), asio::detached);
}

void http_listener::stop()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

asio::awaitable<void> http_listener::accept_loop()
{
    while (acceptor_.is_open())
    {
        boost::system::error_code failure;
        tcp::socket socket(asio::make_strand(context_));
        co_await acceptor_.async_accept(
            socket, asio::redirect_error(asio::use_awaitable, failure));
        if (!failure)
        {
            auto executor = socket.get_executor();
            asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
            continue;
        }
        asio::steady_timer timer(context_, accept_retry_delay);
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, failure));
    }
}

asio::awaitable<void> http_listener::serve(tcp::socket socket)
{
    boost::system::error_code failure;
    const auto peer = socket.remote_endpoint(failure).address().to_string();
    if (!failure && options_.no_delay_)
    {
        socket.set_option(tcp::no_delay(true), failure);
    }
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(whole_message_buffer_bytes);
    while (!failure)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(options_.max_body_.value());
        parser.header_limit(max_header_bytes);
        stream.expires_after(idle_timeout);
        failure = co_await read_whole_message(stream, buffer, parser);
        if (failure)
        {
            break;
        }
        auto request = parser.release();
        const bool keep_alive = request.keep_alive();
        stream.expires_never();
        auto response = co_await handle_(std::move(request), peer);
        if (!response)
        {
            break;
        }
        response->keep_alive(keep_alive);
        response->prepare_payload();
        stream.expires_after(idle_timeout);
        co_await http::async_write(
            stream, *response,
            asio::redirect_error(asio::use_awaitable, failure));
        if (!keep_alive)
        {
            break;
        }
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, failure);
}

} // namespace hemlockshelf
