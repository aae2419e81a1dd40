#ifndef HEMLOCKSHELF_EXPERIMENT_ADDRESS_BLOCK_HPP
#define HEMLOCKSHELF_EXPERIMENT_ADDRESS_BLOCK_HPP

#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "adapters/http/endpoint.hpp"

namespace hemlockshelf {

/// Reserves a block 127.<block>.0.0/16 of loopback addresses for this run. A
/// listening socket keeps the reservation until the object is destroyed.
class address_block
{
public:
    /// Throws `std::runtime_error` if every block is in use.
    address_block();

    /// Returns 127.<block>.<third_octet>.<fourth_octet>.
    [[nodiscard]] std::string
    address(std::size_t third_octet, std::size_t fourth_octet) const;

    [[nodiscard]] endpoint
    at(std::size_t third_octet,
       std::size_t fourth_octet,
       std::uint16_t port) const;

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor lock_;
    int block_ = 0;
};

} // namespace hemlockshelf

#endif
