#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_CALL_SERVER_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_CALL_SERVER_HPP

#include <functional>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "adapters/http/endpoint.hpp"
#include "adapters/http/http_listener.hpp"
#include "adapters/http/http_message.hpp"

namespace hemlockshelf {

/// HTTP server whose handlers are coroutines, which must not block.
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

    /// Stops accepting connections.
    void stop();

private:
    boost::asio::awaitable<std::optional<http_response>>
    answer(http_request request);

    handler handle_;
    /// Declared last, because its handler uses the other members.
    http_listener listener_;
};

} // namespace hemlockshelf

#endif
