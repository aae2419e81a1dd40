#include "adapters/http/endpoint.hpp"

#include <charconv>

#include <boost/asio/ip/address_v4.hpp>
#include <fmt/format.h>

namespace hemlockshelf {

std::string to_string(const endpoint& value)
{
    return fmt::format("{}:{}", value.address_, value.port_);
}

result<endpoint> parse_endpoint(std::string_view text)
{
    const auto failure = make_error(
        error_kind::bad_request,
        fmt::format(
            "endpoint: expected <IPv4 address>:<port>, given \"{}\"", text));
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return failure;
    }
    const std::string address(text.substr(0, colon));
    const auto port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto* end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, port);
    boost::system::error_code invalid;
    boost::asio::ip::make_address_v4(address, invalid);
    if (invalid || parsed.ec != std::errc{} || parsed.ptr != end || port == 0)
    {
        return failure;
    }
    return endpoint{address, port};
}

} // namespace hemlockshelf
