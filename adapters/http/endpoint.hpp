#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_ENDPOINT_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_ENDPOINT_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// IP address and TCP port.
struct endpoint
{
    std::string address_;
    std::uint16_t port_ = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Returns `address:port`.
std::string to_string(const endpoint& value);

/// Reads `address:port` with an IPv4 address. The error is `bad_request`.
result<endpoint> parse_endpoint(std::string_view text);

} // namespace hemlockshelf

#endif
