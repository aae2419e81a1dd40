#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_WHOLE_MESSAGE_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_WHOLE_MESSAGE_HPP

#include <cstddef>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

namespace hemlockshelf {

/// Size that the buffer of a connection needs to read whole messages: a header
/// or another line, and one read.
inline constexpr std::size_t whole_message_buffer_bytes = std::size_t{64}
                                                          << 10U;

/// Reads a message with its body. The buffer keeps what follows the message.
/// The error is `end_of_stream` if the connection ended before the first byte,
/// and `buffer_overflow` if a line does not fit into the buffer.
///
/// Takes the place of Beast's `async_read`, which lets a buffer without a limit
/// grow with a chunk extension that does not end, and fails an assertion if the
/// end of an empty chunked body arrives in pieces.
boost::asio::awaitable<boost::system::error_code> read_whole_message(
    boost::beast::tcp_stream& stream,
    boost::beast::flat_buffer& buffer,
    boost::beast::http::request_parser<boost::beast::http::string_body>&
        parser);
boost::asio::awaitable<boost::system::error_code> read_whole_message(
    boost::beast::tcp_stream& stream,
    boost::beast::flat_buffer& buffer,
    boost::beast::http::response_parser<boost::beast::http::string_body>&
        parser);

} // namespace hemlockshelf

#endif
