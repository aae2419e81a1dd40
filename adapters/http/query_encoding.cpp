#include "adapters/http/query_encoding.hpp"

#include <charconv>
#include <cstddef>

#include <fmt/format.h>

namespace hemlockshelf {

namespace {

constexpr std::size_t escape_digits = 2;

bool needs_no_escape(unsigned char byte)
{
    return (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') ||
           (byte >= 'a' && byte <= 'z') || byte == '-' || byte == '.' ||
           byte == '_';
}

} // namespace

std::string encode_query(std::string_view value)
{
    std::string encoded;
    for (const char character : value)
    {
        const auto byte = static_cast<unsigned char>(character);
        encoded += needs_no_escape(byte)
                       ? std::string(1, character)
                       : fmt::format("%{:02X}", unsigned{byte});
    }
    return encoded;
}

std::string decode_query(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        const auto digits = text.substr(at + 1, escape_digits);
        const auto* end = digits.data() + digits.size();
        unsigned value = 0;
        if (text[at] == '%' && digits.size() == escape_digits &&
            std::from_chars(digits.data(), end, value, 16).ptr == end)
        {
            decoded.push_back(static_cast<char>(value));
            at += escape_digits;
            continue;
        }
        decoded.push_back(text[at] == '+' ? ' ' : text[at]);
    }
    return decoded;
}

} // namespace hemlockshelf
