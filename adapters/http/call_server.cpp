#include "adapters/http/call_server.hpp"

#include <optional>
#include <string>
#include <utility>

namespace hemlockshelf {

namespace asio = boost::asio;

namespace {

constexpr byte_count max_body{64ULL * 1024 * 1024};
// Sets TCP_NODELAY: an answer that waits for the acknowledgement of an earlier
// segment would increase the latency of the call.
constexpr http_listener_options options{max_body, true};

} // namespace

call_server::call_server(
    asio::io_context& context, const endpoint& where, handler handle)
    : handle_(std::move(handle)),
      listener_(
          context,
          where,
          options,
          [this](http_request request, const std::string&)
          {
              return answer(std::move(request));
          })
{}

void call_server::stop()
{
    listener_.stop();
}

asio::awaitable<std::optional<http_response>>
call_server::answer(http_request request)
{
    std::optional<http_response> response =
        co_await handle_(std::move(request));
    co_return response;
}

} // namespace hemlockshelf
