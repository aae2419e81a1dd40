#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_HTTP_LISTENER_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_HTTP_LISTENER_HPP

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "adapters/http/endpoint.hpp"
#include "adapters/http/http_message.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

struct http_listener_options
{
    /// Longest request body; a connection that sends a longer one is closed.
    byte_count max_body_;
    /// Sends each segment at once (TCP_NODELAY).
    bool no_delay_ = false;
};

/// Accepts HTTP/1.1 connections and serves the requests of each connection in
/// order. Each connection runs on its own strand and is closed after 60 s
/// without progress of a request or an answer.
class http_listener
{
public:
    /// Receives a request and the address of its sender. Runs on the
    /// connection's strand and must resume on it before it returns. Without an
    /// answer, the connection is closed.
    using handler =
        std::function<boost::asio::awaitable<std::optional<http_response>>(
            http_request, std::string)>;

    /// Listens on `where`. Throws `boost::system::system_error` if the address
    /// can't be bound. The listener must outlive the run of `context`.
    http_listener(
        boost::asio::io_context& context,
        const endpoint& where,
        http_listener_options options,
        handler handle);

    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Stops accepting connections.
    void stop();

private:
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    http_listener_options options_;
    handler handle_;
};

} // namespace hemlockshelf

#endif
