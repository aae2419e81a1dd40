#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_CALL_SERVER_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_CALL_SERVER_HPP

#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "adapters/http/endpoint.hpp"
#include "adapters/http/http_message.hpp"

namespace hemlockshelf {

/// HTTP server for calls; handlers are coroutines and do not block.
class call_server
{
public:
    using handler =
        std::function<boost::asio::awaitable<http_response>(http_request)>;

    /// Listens on `where`. Throws `boost::system::system_error` if the address
    /// can't be bound.
    call_server(
        boost::asio::io_context& context,
        const endpoint& where,
        handler handle);

    /// Accepts no further connections.
    void stop();

private:
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    handler handle_;
};

} // namespace hemlockshelf

#endif
