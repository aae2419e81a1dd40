#include "experiment/address_block.hpp"

#include <stdexcept>

#include <fmt/format.h>
#include <unistd.h>

namespace hemlockshelf {

namespace {

using tcp = boost::asio::ip::tcp;

constexpr int first_block = 64;
constexpr int block_count = 160;
constexpr std::uint16_t lock_port = 6999;

bool lock_block(tcp::acceptor& lock, int block)
{
    boost::system::error_code failure;
    const auto address =
        boost::asio::ip::make_address_v4(fmt::format("127.{}.255.1", block));
    lock.open(tcp::v4(), failure);
    lock.bind({address, lock_port}, failure);
    if (failure)
    {
        boost::system::error_code ignored;
        lock.close(ignored);
        return false;
    }
    lock.listen(1, failure);
    return !failure;
}

} // namespace

address_block::address_block() : lock_(context_)
{
    // Each run starts the search at a different block to avoid collisions.
    const int start = ::getpid() % block_count;
    for (int tried = 0; tried < block_count; ++tried)
    {
        block_ = first_block + (start + tried) % block_count;
        if (lock_block(lock_, block_))
        {
            return;
        }
    }
    throw std::runtime_error("no free block of loopback addresses");
}

std::string
address_block::address(std::size_t third_octet, std::size_t fourth_octet) const
{
    return fmt::format("127.{}.{}.{}", block_, third_octet, fourth_octet);
}

endpoint address_block::at(
    std::size_t third_octet, std::size_t fourth_octet, std::uint16_t port) const
{
    return {address(third_octet, fourth_octet), port};
}

} // namespace hemlockshelf
