#include "adapters/http/http_client.hpp"

#include <charconv>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

#include "adapters/http/tcp_endpoint.hpp"
#include "adapters/http/whole_message.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;

tl::unexpected<error> exchange_error(
    error_kind kind,
    const endpoint& server,
    const boost::system::error_code& failure)
{
    return make_error(
        kind, fmt::format("{}: {}", to_string(server), failure.message()));
}

boost::system::error_code
bind_source(beast::tcp_stream& stream, const std::string& source)
{
    boost::system::error_code failure;
    if (source.empty())
    {
        return failure;
    }
    auto& socket = stream.socket();
    socket.open(tcp::v4(), failure);
    if (!failure)
    {
        const auto address = asio::ip::make_address_v4(source, failure);
        socket.bind(tcp::endpoint(address, 0), failure);
    }
    return failure;
}

} // namespace

http_request make_request(
    http::verb method, const std::string& path, const std::string& body)
{
    http_request request{method, path, 11};
    request.set(http::field::host, "hemlockshelf");
    if (!body.empty())
    {
        request.set(http::field::content_type, "application/json");
    }
    request.body() = body;
    request.prepare_payload();
    return request;
}

asio::awaitable<result<http_response>>
async_exchange(http_target target, http_request request)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(target.timeout_);
    boost::system::error_code failure =
        bind_source(stream, target.source_address_);
    if (failure)
    {
        co_return exchange_error(
            error_kind::unreachable, target.server_, failure);
    }
    const auto server = to_tcp(target.server_);
    co_await stream.async_connect(
        server, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
    {
        co_return exchange_error(
            error_kind::unreachable, target.server_, failure);
    }
    stream.socket().set_option(tcp::no_delay(true), failure);
    co_await http::async_write(
        stream, request, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
    {
        co_return exchange_error(
            error_kind::outcome_unknown, target.server_, failure);
    }
    beast::flat_buffer buffer(whole_message_buffer_bytes);
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_body_bytes);
    failure = co_await read_whole_message(stream, buffer, parser);
    if (!failure && http::to_status_class(parser.get().result_int()) ==
                        http::status_class::unknown)
    {
        failure = http::error::bad_status;
    }
    if (failure)
    {
        co_return exchange_error(
            error_kind::outcome_unknown, target.server_, failure);
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, failure);
    co_return parser.release();
}

void exchange_canceller::cancel()
{
    const std::lock_guard lock(mutex_);
    cancelled_ = true;
    for (auto* context : running_)
    {
        context->stop();
    }
}

bool exchange_canceller::add(asio::io_context& context)
{
    const std::lock_guard lock(mutex_);
    if (!cancelled_)
    {
        running_.insert(&context);
    }
    return !cancelled_;
}

void exchange_canceller::remove(asio::io_context& context)
{
    const std::lock_guard lock(mutex_);
    running_.erase(&context);
}

result<http_response> blocking_exchange(
    const http_target& target,
    const http_request& request,
    exchange_canceller* canceller)
{
    asio::io_context context(1);
    if (canceller != nullptr && !canceller->add(context))
    {
        return make_error(error_kind::unreachable, "exchange: cancelled");
    }
    std::optional<result<http_response>> answer;
    asio::co_spawn(
        context, async_exchange(target, request),
        [&answer](const std::exception_ptr&, result<http_response> value)
        {
            answer = std::move(value);
        });
    context.run();
    if (canceller != nullptr)
    {
        canceller->remove(context);
    }
    if (!answer)
    {
        return make_error(error_kind::outcome_unknown, "exchange: cancelled");
    }
    return std::move(*answer);
}

std::chrono::milliseconds parse_retry_after(const http_response& answer)
{
    constexpr double max_seconds = 3600;
    const auto value = answer[boost::beast::http::field::retry_after];
    const auto* const end = value.data() + value.size();
    double seconds = 0;
    const auto read =
        std::from_chars(value.data(), end, seconds, std::chars_format::fixed);
    const bool is_number = read.ec == std::errc{} && read.ptr == end;
    if (!is_number || !(seconds >= 0 && seconds <= max_seconds))
    {
        return std::chrono::milliseconds{0};
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(seconds));
}

error_kind failed_status_kind(const http_response& response)
{
    namespace http = boost::beast::http;
    const auto status = response.result();
    if (status == http::status::too_many_requests)
    {
        return error_kind::rate_limited;
    }
    // The platform sends client errors and 503 before it executes the request;
    // other server errors can follow the execution.
    const bool not_executed = http::to_status_class(response.result_int()) ==
                                  http::status_class::client_error ||
                              status == http::status::service_unavailable;
    return not_executed ? error_kind::platform_unavailable
                        : error_kind::outcome_unknown;
}

std::string describe(const http_request& request, const http_response& answer)
{
    return fmt::format(
        "{} {}: status {}", std::string(request.method_string()),
        std::string(request.target()), answer.result_int());
}

} // namespace hemlockshelf
