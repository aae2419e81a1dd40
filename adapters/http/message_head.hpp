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

/// How the end of a body is marked.
struct body_framing
{
    bool chunked_ = false;
    std::optional<std::uint64_t> length_;
};

inline std::string_view to_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns a field's value, or an empty text.
std::string_view
field_value(const boost::beast::http::fields& fields, const char* name);

/// Removes the headers that concern one connection only (RFC 9110, 7.6.1),
/// including those that `Connection` names, and those that frame the body.
void remove_connection_headers(boost::beast::http::fields& fields);

/// Removes every header of the system from a message of a caller or an
/// upstream, except those that a caller may send if `keep_request_headers`.
void remove_node_headers(
    boost::beast::http::fields& fields, bool keep_request_headers);

/// Refuses a transfer coding other than `chunked`, whose end the parser does
/// not find. The error is `bad_request`.
result<void> check_transfer_coding(const boost::beast::http::fields& fields);

void append_field(
    std::string& out, std::string_view name, std::string_view value);
void append_field(std::string& out, std::string_view name, std::uint64_t value);

/// Appends the start line and the fields, without the empty line at the end.
void append_head(std::string& out, const request_head& head);
void append_head(std::string& out, const response_head& head);

/// Appends the field that frames the body, if there is one.
void append_framing(std::string& out, const body_framing& framing);

/// Returns how an answer is framed for a client of HTTP version `version`
/// (11 for 1.1). Without length or chunks the end of the connection ends it.
body_framing answer_framing(
    const response_parser& answer, bool to_head_request, unsigned version);

/// Reads a number of milliseconds, at most nine digits.
std::optional<std::uint64_t> parse_milliseconds(std::string_view text);

} // namespace hemlockshelf

#endif
