#include "adapters/http/request_pipeline.hpp"

#include <array>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/verb.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace hemlockshelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Most requests of one connection that are served at once.
constexpr std::size_t max_started = 16;

} // namespace

request_pipeline::request_pipeline(
    http_connection& client,
    const call_settings& settings,
    filter may_repeat,
    starter start)
    : client_(client), settings_(settings), may_repeat_(std::move(may_repeat)),
      start_(std::move(start))
{}

void request_pipeline::start_buffered()
{
    while (started_.size() < max_started && client_.buffer().size() > 0)
    {
        if (!take_one())
        {
            return;
        }
    }
}

started_request request_pipeline::next()
{
    auto request = std::move(started_.front());
    started_.pop_front();
    return request;
}

bool request_pipeline::take_one()
{
    request_parser parser;
    parser.header_limit(settings_.max_header_bytes_);
    error_code failure;
    const auto used = parser.put(client_.buffer().data(), failure);
    // What is incomplete, malformed, has a body or ends the connection is left
    // to the session.
    if (failure || !parser.is_header_done() || !parser.is_done() ||
        !wants_keep_alive(parser) || !may_repeat_(parser.get()))
    {
        return false;
    }
    return start_one(used, parser.get().method() == http::verb::head);
}

bool request_pipeline::start_one(std::size_t size, bool to_head_request)
{
    std::array<int, 2> pair{};
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, pair.data()) != 0)
    {
        return false;
    }
    const auto executor = client_.socket().get_executor();
    http_connection::socket_type near(executor);
    http_connection::socket_type far(executor);
    error_code failure;
    error_code far_failure;
    near.assign(asio::ip::tcp::v4(), pair[0], failure);
    far.assign(asio::ip::tcp::v4(), pair[1], far_failure);
    if (failure || far_failure)
    {
        ::close(pair[0]);
        ::close(pair[1]);
        return false;
    }
    const auto bytes = client_.buffer().data();
    const auto written =
        asio::write(near, asio::buffer(bytes.data(), size), failure);
    if (failure || written != size || !start_(std::move(far)))
    {
        return false;
    }
    client_.buffer().consume(size);
    started_.push_back(
        {std::make_unique<http_connection>(
             std::move(near), settings_.max_header_bytes_),
         to_head_request});
    return true;
}

} // namespace hemlockshelf
