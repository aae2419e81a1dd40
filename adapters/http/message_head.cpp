#include "adapters/http/message_head.hpp"

#include <array>
#include <charconv>
#include <vector>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include "adapters/http/headers.hpp"

namespace hemlockshelf {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view header_prefix = "Hemlockshelf-";
constexpr std::string_view line_end = "\r\n";
constexpr std::size_t max_milliseconds_digits = 9;

bool has_header_prefix(beast::string_view name)
{
    return name.size() >= header_prefix.size() &&
           beast::iequals(name.substr(0, header_prefix.size()), header_prefix);
}

bool is_request_header(beast::string_view name)
{
    return beast::iequals(name, headers::account) ||
           beast::iequals(name, headers::deadline_ms) ||
           beast::iequals(name, headers::request_id);
}

// A sender must not be able to remove these headers by listing them in
// `Connection`.
bool is_removable_by_connection(beast::string_view name)
{
    return !has_header_prefix(name) && !beast::iequals(name, "Host") &&
           !beast::iequals(name, headers::idempotency_key);
}

std::vector<std::string> connection_options(const http::fields& fields)
{
    std::vector<std::string> names;
    for (const auto& field : fields)
    {
        if (field.name() != http::field::connection)
        {
            continue;
        }
        for (const auto token : http::token_list(field.value()))
        {
            if (is_removable_by_connection(token))
            {
                names.emplace_back(token.data(), token.size());
            }
        }
    }
    return names;
}

void append_fields(std::string& out, const http::fields& fields)
{
    for (const auto& field : fields)
    {
        append_field(out, to_view(field.name_string()), to_view(field.value()));
    }
}

} // namespace

std::string_view field_value(const http::fields& fields, const char* name)
{
    return to_view(fields[name]);
}

void remove_connection_headers(http::fields& fields)
{
    if (fields.count(http::field::connection) > 0)
    {
        for (const auto& name : connection_options(fields))
        {
            fields.erase(name);
        }
    }
    for (const auto name :
         {http::field::connection, http::field::keep_alive,
          http::field::proxy_connection, http::field::te, http::field::trailer,
          http::field::transfer_encoding, http::field::content_length,
          http::field::upgrade, http::field::expect})
    {
        fields.erase(name);
    }
}

void remove_node_headers(http::fields& fields, bool keep_request_headers)
{
    for (auto at = fields.begin(); at != fields.end();)
    {
        const auto name = at->name_string();
        const bool keep = !has_header_prefix(name) ||
                          (keep_request_headers && is_request_header(name));
        at = keep ? std::next(at) : fields.erase(at);
    }
}

result<void> check_transfer_coding(const http::fields& fields)
{
    const auto count = fields.count(http::field::transfer_encoding);
    if (count == 0 ||
        (count == 1 &&
         beast::iequals(fields[http::field::transfer_encoding], "chunked")))
    {
        return {};
    }
    return make_error(
        error_kind::bad_request,
        fmt::format(
            "Transfer-Encoding: expected chunked, given \"{}\"",
            to_view(fields[http::field::transfer_encoding])));
}

void append_field(
    std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append(line_end);
}

void append_field(std::string& out, std::string_view name, std::uint64_t value)
{
    std::array<char, 20> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
    append_field(
        out, name,
        {digits.data(), static_cast<std::size_t>(end - digits.data())});
}

void append_head(std::string& out, const request_head& head)
{
    out.append(to_view(head.method_string())).append(" ");
    out.append(to_view(head.target())).append(" HTTP/1.1\r\n");
    append_fields(out, head);
}

void append_head(std::string& out, const response_head& head)
{
    const auto status = head.result_int();
    const auto reason = head.reason().empty()
                            ? http::obsolete_reason(head.result())
                            : head.reason();
    out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    out.append(to_view(reason)).append(line_end);
    append_fields(out, head);
}

void append_framing(std::string& out, const body_framing& framing)
{
    if (framing.chunked_)
    {
        append_field(out, "Transfer-Encoding", "chunked");
    }
    else if (framing.length_)
    {
        append_field(out, "Content-Length", *framing.length_);
    }
}

body_framing answer_framing(
    const response_parser& answer, bool to_head_request, unsigned version)
{
    constexpr unsigned first_chunked_version = 11;
    const auto status = answer.get().result();
    body_framing framing;
    if (status == http::status::no_content ||
        status == http::status::not_modified)
    {
        return framing;
    }
    if (const auto length = answer.content_length())
    {
        framing.length_ = *length;
    }
    framing.chunked_ = !framing.length_ && !to_head_request &&
                       version >= first_chunked_version;
    return framing;
}

std::optional<std::uint64_t> parse_milliseconds(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || text.size() > max_milliseconds_digits ||
        parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace hemlockshelf
