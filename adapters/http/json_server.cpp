#include "adapters/http/json_server.hpp"

#include <chrono>
#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "adapters/http/headers.hpp"
#include "adapters/http/query_encoding.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr byte_count max_body{16ULL * 1024 * 1024};

} // namespace

json_server::json_server(
    asio::io_context& context,
    const endpoint& where,
    std::size_t threads,
    handler handle)
    : context_(context), workers_(threads), handle_(std::move(handle)),
      listener_(
          context,
          where,
          http_listener_options{max_body},
          [this](http_request request, std::string peer)
          {
              return answer(std::move(request), std::move(peer));
          })
{}

json_server::~json_server()
{
    stop();
    workers_.join();
}

void json_server::stop()
{
    listener_.stop();
}

asio::awaitable<std::optional<http_response>>
json_server::answer(http_request request, std::string peer)
{
    // Without the bound executor, the coroutine would resume on its own
    // executor and blocking handlers would block the thread of the context.
    co_await asio::post(
        asio::bind_executor(workers_.get_executor(), asio::use_awaitable));
    std::optional<http_response> response;
    std::optional<std::chrono::milliseconds> close_delay;
    try
    {
        response = handle_(request, peer);
    }
    catch (const withheld_response& lost)
    {
        close_delay = lost.wait();
    }
    catch (const std::exception& thrown)
    {
        response = error_response({error_kind::internal, thrown.what()});
    }
    co_await asio::post(context_, asio::use_awaitable);
    if (close_delay)
    {
        boost::system::error_code ignored;
        asio::steady_timer timer(context_, *close_delay);
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return response;
}

http_response json_response(unsigned status, const nlohmann::json& body)
{
    http_response response{http::int_to_status(status), 11};
    response.set(http::field::content_type, "application/json");
    response.body() = to_json_text(body) + "\n";
    response.prepare_payload();
    return response;
}

http_response error_response(const error& failure)
{
    const auto& answer = error_properties_of(failure.kind_);
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

std::string target_path(const http_request& request)
{
    const std::string_view target(
        request.target().data(), request.target().size());
    return std::string(target.substr(0, target.find('?')));
}

} // namespace hemlockshelf
