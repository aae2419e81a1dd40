#include "adapters/http/whole_message.hpp"

#include <algorithm>

#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

#include "adapters/http/unparsed_bytes.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t max_read_bytes = std::size_t{16} << 10U;

/// Passes the buffered bytes to the parser.
template <class Parser>
error_code parse_buffered(
    beast::flat_buffer& buffer, Parser& parser, std::size_t& left_by_parser)
{
    error_code failure;
    while (!failure && !parser.is_done() &&
           has_bytes_to_parse(buffer.size(), left_by_parser))
    {
        const auto used = parser.put(buffer.data(), failure);
        buffer.consume(used);
        // The parser may use some bytes and leave what follows them.
        const bool wants_more = failure == http::error::need_more;
        left_by_parser = used == 0 || wants_more ? buffer.size() : 0;
        if (wants_more)
        {
            failure = {};
        }
    }
    return failure;
}

template <class Parser>
error_code end_message(Parser& parser)
{
    if (!parser.got_some())
    {
        return http::error::end_of_stream;
    }
    error_code failure;
    parser.put_eof(failure);
    if (!failure && !parser.is_done())
    {
        failure = http::error::partial_message;
    }
    return failure;
}

template <class Parser>
asio::awaitable<error_code>
read_any(beast::tcp_stream& stream, beast::flat_buffer& buffer, Parser& parser)
{
    parser.eager(true);
    std::size_t left_by_parser = 0;
    while (true)
    {
        auto failure = parse_buffered(buffer, parser, left_by_parser);
        if (failure || parser.is_done())
        {
            co_return failure;
        }
        const auto room = buffer.max_size() - buffer.size();
        if (room == 0)
        {
            co_return http::error::buffer_overflow;
        }
        const auto space = buffer.prepare(std::min(room, max_read_bytes));
        const auto count = co_await stream.async_read_some(
            space, asio::redirect_error(asio::use_awaitable, failure));
        buffer.commit(count);
        if (failure == asio::error::eof)
        {
            co_return end_message(parser);
        }
        if (failure)
        {
            co_return failure;
        }
    }
}

} // namespace

asio::awaitable<error_code> read_whole_message(
    beast::tcp_stream& stream,
    beast::flat_buffer& buffer,
    http::request_parser<http::string_body>& parser)
{
    return read_any(stream, buffer, parser);
}

asio::awaitable<error_code> read_whole_message(
    beast::tcp_stream& stream,
    beast::flat_buffer& buffer,
    http::response_parser<http::string_body>& parser)
{
    return read_any(stream, buffer, parser);
}

} // namespace hemlockshelf
