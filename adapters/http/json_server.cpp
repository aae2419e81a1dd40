#include "adapters/http/json_server.hpp"

#include <charconv>
#include <chrono>
#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

#include "adapters/http/headers.hpp"
#include "adapters/http/query_encoding.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::uint64_t max_body_bytes = 16ULL * 1024 * 1024;
constexpr std::uint32_t max_header_bytes = 16 * 1024;
constexpr std::chrono::seconds idle_timeout{60};

tcp::endpoint to_tcp(const endpoint& where)
{
    return {asio::ip::make_address_v4(where.address_), where.port_};
}

} // namespace

json_server::json_server(
    asio::io_context& context,
    const endpoint& where,
    std::size_t threads,
    handler handle)
    : context_(context), acceptor_(context, to_tcp(where)), workers_(threads),
      handle_(std::move(handle))
{
    asio::co_spawn(context_, accept_loop(), asio::detached);
}

json_server::~json_server()
{
    stop();
    workers_.join();
}

void json_server::stop()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

asio::awaitable<void> json_server::accept_loop()
{
    while (acceptor_.is_open())
    {
        boost::system::error_code failure;
        tcp::socket socket(context_);
        co_await acceptor_.async_accept(
            socket, asio::redirect_error(asio::use_awaitable, failure));
        if (!failure)
        {
            asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
        }
    }
}

asio::awaitable<void> json_server::serve(tcp::socket socket)
{
    boost::system::error_code failure;
    const auto peer = socket.remote_endpoint(failure).address().to_string();
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (!failure)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        parser.header_limit(max_header_bytes);
        stream.expires_after(idle_timeout);
        co_await http::async_read(
            stream, buffer, parser,
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            break;
        }
        const auto request = parser.release();
        stream.expires_never();
        // Without the bound executor, the coroutine would resume on its own
        // executor and handlers would block the thread of the context.
        co_await asio::post(
            asio::bind_executor(workers_.get_executor(), asio::use_awaitable));
        http_response response;
        std::optional<std::chrono::milliseconds> withheld;
        try
        {
            response = handle_(request, peer);
        }
        catch (const no_answer& lost)
        {
            withheld = lost.wait();
        }
        catch (const std::exception& thrown)
        {
            response = error_response({error_kind::internal, thrown.what()});
        }
        co_await asio::post(context_, asio::use_awaitable);
        if (withheld)
        {
            asio::steady_timer timer(context_, *withheld);
            co_await timer.async_wait(
                asio::redirect_error(asio::use_awaitable, failure));
            break;
        }
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        stream.expires_after(idle_timeout);
        co_await http::async_write(
            stream, response,
            asio::redirect_error(asio::use_awaitable, failure));
        if (!request.keep_alive())
        {
            break;
        }
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, failure);
}

http_response json_response(unsigned status, const nlohmann::json& body)
{
    http_response response{http::int_to_status(status), 11};
    response.set(http::field::content_type, "application/json");
    response.body() = body.dump() + "\n";
    response.prepare_payload();
    return response;
}

http_response error_response(const error& failure)
{
    const auto& answer = answer_for(failure.kind_);
    auto response = json_response(
        static_cast<unsigned>(answer.http_status_),
        {{"error", answer.name_}, {"message", failure.message_}});
    response.set(headers::error, answer.name_);
    return response;
}

std::string query_parameter(const http_request& request, std::string_view name)
{
    const std::string_view target(
        request.target().data(), request.target().size());
    auto at = target.find('?');
    while (at != std::string_view::npos && at + 1 < target.size())
    {
        const auto next = target.find('&', at + 1);
        const auto item = target.substr(
            at + 1, next == std::string_view::npos ? next : next - at - 1);
        const auto equals = item.find('=');
        if (item.substr(0, equals) == name)
        {
            return equals == std::string_view::npos
                       ? std::string{}
                       : decode_query(item.substr(equals + 1));
        }
        at = next;
    }
    return {};
}

std::string path_of(const http_request& request)
{
    const std::string_view target(
        request.target().data(), request.target().size());
    return std::string(target.substr(0, target.find('?')));
}

result<nlohmann::json> parse_json(const std::string& text)
{
    auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
    {
        return make_error(
            error_kind::bad_request, "body: expected JSON, given other text");
    }
    return json;
}

} // namespace hemlockshelf
