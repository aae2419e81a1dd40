#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_MESSAGE_READER_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_MESSAGE_READER_HPP

#include <cstddef>
#include <span>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

#include "adapters/http/http_connection.hpp"

namespace hemlockshelf {

using request_parser =
    boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using response_parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// Whether the client asks that the connection stay open after the answer.
/// Connections of HTTP/1.0 never do.
bool wants_keep_alive(const request_parser& request);

/// Reads the head of a message. `end_of_stream` if the connection ended before
/// the first byte.
boost::asio::awaitable<boost::system::error_code>
read_head(http_connection& source, request_parser& parser);
boost::asio::awaitable<boost::system::error_code>
read_head(http_connection& source, response_parser& parser);

/// Parses body bytes that have already been read into `space` and returns
/// their number. Performs no I/O.
std::size_t parse_body(
    http_connection& source,
    request_parser& parser,
    std::span<char> space,
    boost::system::error_code& failure);
std::size_t parse_body(
    http_connection& source,
    response_parser& parser,
    std::span<char> space,
    boost::system::error_code& failure);

/// Reads the next bytes of a body into `space` and returns their number; 0
/// without a failure means that the message is complete. Trailers are read
/// and dropped.
boost::asio::awaitable<std::size_t> read_body(
    http_connection& source,
    request_parser& parser,
    std::span<char> space,
    boost::system::error_code& failure);
boost::asio::awaitable<std::size_t> read_body(
    http_connection& source,
    response_parser& parser,
    std::span<char> space,
    boost::system::error_code& failure);

} // namespace hemlockshelf

#endif
