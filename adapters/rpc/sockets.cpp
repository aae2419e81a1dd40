#include "adapters/rpc/sockets.hpp"

#include <cerrno>
#include <system_error>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hemlockshelf {

namespace {

constexpr int listen_backlog = 512;
constexpr unsigned wrap_flags = kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                                kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK;

[[noreturn]] void fail(const endpoint& address, const char* action)
{
    throw std::system_error(
        errno, std::generic_category(),
        fmt::format("control: cannot {} {}", action, to_string(address)));
}

sockaddr_in to_sockaddr(const endpoint& address)
{
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(address.port_);
    if (inet_pton(AF_INET, address.address_.c_str(), &raw.sin_addr) != 1)
    {
        errno = EINVAL;
        fail(address, "read");
    }
    return raw;
}

kj::AutoCloseFd open_socket(const endpoint& address)
{
    kj::AutoCloseFd descriptor(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (descriptor.get() < 0)
    {
        fail(address, "open a socket for");
    }
    return descriptor;
}

void set_option(int descriptor, int level, int name)
{
    const int on = 1;
    ::setsockopt(descriptor, level, name, &on, sizeof(on));
}

void bind_socket(int descriptor, const endpoint& address)
{
    const auto raw = to_sockaddr(address);
    if (::bind(
            descriptor, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) !=
        0)
    {
        fail(address, "bind");
    }
}

} // namespace

kj::AutoCloseFd open_listener(const endpoint& address)
{
    auto descriptor = open_socket(address);
    set_option(descriptor.get(), SOL_SOCKET, SO_REUSEADDR);
    bind_socket(descriptor.get(), address);
    if (::listen(descriptor.get(), listen_backlog) != 0)
    {
        fail(address, "listen on");
    }
    return descriptor;
}

kj::Promise<kj::Own<kj::AsyncIoStream>> connect_socket(
    kj::LowLevelAsyncIoProvider& provider,
    const endpoint& target,
    const std::string& source_address)
{
    auto descriptor = open_socket(target);
    set_option(descriptor.get(), IPPROTO_TCP, TCP_NODELAY);
    if (!source_address.empty())
    {
        // The port is chosen when the connection is made, so that the source
        // address does not limit the number of connections.
        set_option(descriptor.get(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT);
        bind_socket(descriptor.get(), {source_address, 0});
    }
    const auto raw = to_sockaddr(target);
    return provider.wrapConnectingSocketFd(
        kj::mv(descriptor), reinterpret_cast<const sockaddr*>(&raw),
        sizeof(raw), wrap_flags);
}

} // namespace hemlockshelf
