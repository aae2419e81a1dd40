#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_JSON_SERVER_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_JSON_SERVER_HPP

#include <chrono>
#include <exception>
#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>
#include <nlohmann/json.hpp>

#include "adapters/http/endpoint.hpp"
#include "adapters/http/http_listener.hpp"
#include "adapters/http/http_message.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/json_text.hpp"

namespace hemlockshelf {

/// Thrown by a handler that gives no answer. The connection is closed after the
/// given wait, which does not block a thread. Test servers simulate lost
/// answers with it.
class withheld_response final : public std::exception
{
public:
    explicit withheld_response(std::chrono::milliseconds wait) : wait_(wait) {}

    [[nodiscard]] std::chrono::milliseconds wait() const noexcept
    {
        return wait_;
    }

private:
    std::chrono::milliseconds wait_;
};

/// HTTP server for small messages. Handlers may block, because they run on a
/// separate thread pool.
class json_server
{
public:
    /// Receives a request and the address of its sender.
    using handler =
        std::function<http_response(const http_request&, const std::string&)>;

    /// Listens on `where`. Throws `boost::system::system_error` if the address
    /// can't be bound.
    json_server(
        boost::asio::io_context& context,
        const endpoint& where,
        std::size_t threads,
        handler handle);
    ~json_server();

    json_server(const json_server&) = delete;
    json_server& operator=(const json_server&) = delete;

    /// Stops accepting connections.
    void stop();

private:
    boost::asio::awaitable<std::optional<http_response>>
    answer(http_request request, std::string peer);

    boost::asio::io_context& context_;
    boost::asio::thread_pool workers_;
    handler handle_;
    /// Declared last, because its handler uses the other members.
    http_listener listener_;
};

/// Makes an answer with a JSON body.
http_response json_response(unsigned status, const nlohmann::json& body);

/// Makes the answer that the error table gives for an error.
http_response error_response(const error& failure);

/// Returns a decoded query parameter of a request's target, or an empty string.
std::string query_parameter(const http_request& request, std::string_view name);

/// Returns the target of a request without its query.
std::string target_path(const http_request& request);

} // namespace hemlockshelf

#endif
