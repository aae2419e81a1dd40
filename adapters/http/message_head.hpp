#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_MESSAGE_HEAD_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_MESSAGE_HEAD_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include "adapters/http/message_reader.hpp"
#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

using request_head = boost::beast::http::request_header<>;
using response_head = boost::beast::http::response_header<>;

/// How the end of a body is marked: by chunks, a length, or neither.
struct body_framing
{
    bool chunked_ = false;
    std::optional<std::uint64_t> length_;
};

inline std::string_view to_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns the value of a field, empty if it is absent.
std::string_view
field_value(const boost::beast::http::fields& fields, const char* name);

/// Removes the hop-by-hop headers (RFC 9110, 7.6.1), including those that
/// `Connection` lists, and the headers that frame the body.
void remove_connection_headers(boost::beast::http::fields& fields);

/// Removes the `Hemlockshelf-` headers from a message of a caller or an
/// upstream. `keep_request_headers` keeps those that a caller may send.
void remove_node_headers(
    boost::beast::http::fields& fields, bool keep_request_headers);

/// Rejects transfer codings other than `chunked`, because the parser can't find
/// the end of such a body. The error is `bad_request`.
result<void> check_transfer_coding(const boost::beast::http::fields& fields);

void append_field(
    std::string& out, std::string_view name, std::string_view value);
void append_field(std::string& out, std::string_view name, std::uint64_t value);

/// Appends the start line and the fields, without the final empty line.
void append_head(std::string& out, const request_head& head);
void append_head(std::string& out, const response_head& head);

/// Appends the header that frames the body, if any.
void append_framing(std::string& out, const body_framing& framing);

/// Returns how an answer is framed for a client of HTTP version `version`
/// (11 for 1.1). A body without length and chunks ends with the connection.
body_framing answer_framing(
    const response_parser& answer, bool to_head_request, unsigned version);

/// Parses a number of milliseconds of at most nine digits.
std::optional<std::uint64_t> parse_milliseconds(std::string_view text);

} // namespace hemlockshelf

#endif
