#include "adapters/http/message_reader.hpp"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

#include "adapters/http/unparsed_bytes.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

template <class Parser>
asio::awaitable<error_code>
read_any_head(http_connection& source, Parser& parser)
{
    while (true)
    {
        error_code failure;
        if (source.buffer().size() > 0)
        {
            const auto used = parser.put(source.buffer().data(), failure);
            source.buffer().consume(used);
            if (parser.is_header_done() &&
                (!failure || failure == http::error::need_more))
            {
                parser.eager(true);
                source.set_bytes_left_by_parser(0);
                co_return error_code{};
            }
            if (failure && failure != http::error::need_more)
            {
                co_return failure;
            }
        }
        failure = co_await source.fill();
        if (failure == asio::error::eof)
        {
            const bool has_input =
                parser.got_some() || source.buffer().size() > 0;
            co_return has_input ? http::error::partial_message
                                : http::error::end_of_stream;
        }
        if (failure == asio::error::no_buffer_space)
        {
            co_return http::error::header_limit;
        }
        if (failure)
        {
            co_return failure;
        }
    }
}

template <class Parser>
std::size_t parse_any_body(
    http_connection& source,
    Parser& parser,
    std::span<char> space,
    error_code& failure)
{
    failure = {};
    auto& body = parser.get().body();
    body.data = space.data();
    body.size = space.size();
    while (!parser.is_done() &&
           has_bytes_to_parse(
               source.buffer().size(), source.bytes_left_by_parser()))
    {
        const auto used = parser.put(source.buffer().data(), failure);
        source.buffer().consume(used);
        // The parser may use some bytes and leave what follows them.
        source.set_bytes_left_by_parser(
            failure == http::error::need_more ? source.buffer().size() : 0);
        const bool wants_more = failure == http::error::need_more ||
                                failure == http::error::need_buffer;
        if (wants_more)
        {
            failure = {};
        }
        if (wants_more || failure || used == 0)
        {
            break;
        }
    }
    return space.size() - body.size;
}

template <class Parser>
error_code finish_body_at_eof(Parser& parser)
{
    error_code failure;
    parser.put_eof(failure);
    if (!failure && !parser.is_done())
    {
        failure = http::error::partial_message;
    }
    return failure;
}

template <class Parser>
asio::awaitable<std::size_t> read_any_body(
    http_connection& source,
    Parser& parser,
    std::span<char> space,
    error_code& failure)
{
    while (true)
    {
        const auto count = parse_any_body(source, parser, space, failure);
        if (count > 0 || failure || parser.is_done())
        {
            co_return count;
        }
        failure = co_await source.fill();
        if (failure == asio::error::eof)
        {
            failure = finish_body_at_eof(parser);
            co_return 0;
        }
        if (failure)
        {
            co_return 0;
        }
    }
}

} // namespace

bool wants_keep_alive(const request_parser& request)
{
    constexpr unsigned first_persistent_version = 11;
    return request.keep_alive() &&
           request.get().version() >= first_persistent_version;
}

asio::awaitable<error_code>
read_head(http_connection& source, request_parser& parser)
{
    return read_any_head(source, parser);
}

asio::awaitable<error_code>
read_head(http_connection& source, response_parser& parser)
{
    return read_any_head(source, parser);
}

std::size_t parse_body(
    http_connection& source,
    request_parser& parser,
    std::span<char> space,
    error_code& failure)
{
    return parse_any_body(source, parser, space, failure);
}

std::size_t parse_body(
    http_connection& source,
    response_parser& parser,
    std::span<char> space,
    error_code& failure)
{
    return parse_any_body(source, parser, space, failure);
}

asio::awaitable<std::size_t> read_body(
    http_connection& source,
    request_parser& parser,
    std::span<char> space,
    error_code& failure)
{
    return read_any_body(source, parser, space, failure);
}

asio::awaitable<std::size_t> read_body(
    http_connection& source,
    response_parser& parser,
    std::span<char> space,
    error_code& failure)
{
    return read_any_body(source, parser, space, failure);
}

} // namespace hemlockshelf
