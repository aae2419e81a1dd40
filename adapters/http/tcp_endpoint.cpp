#include "adapters/http/tcp_endpoint.hpp"

#include <boost/asio/ip/address_v4.hpp>

namespace hemlockshelf {

boost::asio::ip::tcp::endpoint to_tcp(const endpoint& where)
{
    return {boost::asio::ip::make_address_v4(where.address_), where.port_};
}

} // namespace hemlockshelf
