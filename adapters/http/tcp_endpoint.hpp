#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_TCP_ENDPOINT_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_TCP_ENDPOINT_HPP

#include <boost/asio/ip/tcp.hpp>

#include "adapters/http/endpoint.hpp"

namespace hemlockshelf {

/// Converts an endpoint to Asio's type. Throws `boost::system::system_error` if
/// its address is not an IPv4 address.
boost::asio::ip::tcp::endpoint to_tcp(const endpoint& where);

} // namespace hemlockshelf

#endif
