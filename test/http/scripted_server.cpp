#include "scripted_server.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <string_view>
#include <system_error>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hemlockshelf::test {

namespace {

constexpr int read_timeout_seconds = 5;
constexpr auto loopback = "127.63.200.1";

sockaddr_in to_sockaddr(const endpoint& where)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.port_);
    ::inet_pton(AF_INET, where.address_.c_str(), &address.sin_addr);
    return address;
}

void limit_reads(int descriptor)
{
    const timeval limit{read_timeout_seconds, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

std::size_t content_length(const std::string& head)
{
    constexpr std::string_view name = "Content-Length: ";
    const auto at = head.find(name);
    return at == std::string::npos
               ? 0
               : std::strtoul(head.c_str() + at + name.size(), nullptr, 10);
}

} // namespace

raw_connection::raw_connection(int descriptor) : descriptor_(descriptor)
{
    limit_reads(descriptor_);
}

raw_connection::raw_connection(const endpoint& server)
    : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
{
    limit_reads(descriptor_);
    const auto address = to_sockaddr(server);
    if (::connect(
            descriptor_, reinterpret_cast<const sockaddr*>(&address),
            sizeof address) != 0)
    {
        close();
    }
}

raw_connection::~raw_connection()
{
    close();
}

bool raw_connection::send(const std::string& text)
{
    const auto sent =
        ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
    return sent == static_cast<ssize_t>(text.size());
}

bool raw_connection::fill()
{
    std::array<char, 4096> bytes{};
    const auto count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (count > 0)
    {
        buffer_.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return count > 0;
}

std::string raw_connection::read_until(const std::string& end)
{
    auto at = buffer_.find(end);
    while (at == std::string::npos && fill())
    {
        at = buffer_.find(end);
    }
    const auto size =
        at == std::string::npos ? buffer_.size() : at + end.size();
    auto text = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return text;
}

std::string raw_connection::read_message()
{
    auto text = read_until("\r\n\r\n");
    if (text.find("Transfer-Encoding: chunked") != std::string::npos)
    {
        return text + read_until("0\r\n\r\n");
    }
    const auto length = content_length(text);
    while (buffer_.size() < length && fill())
    {}
    text += buffer_.substr(0, length);
    buffer_.erase(0, length);
    return text;
}

std::string raw_connection::read_all()
{
    while (fill())
    {}
    return std::exchange(buffer_, {});
}

std::string raw_connection::discard_all()
{
    constexpr std::size_t kept = 16;
    while (fill())
    {
        buffer_.erase(0, buffer_.size() - std::min(buffer_.size(), kept));
    }
    return std::exchange(buffer_, {});
}

void raw_connection::close()
{
    if (descriptor_ >= 0)
    {
        ::close(std::exchange(descriptor_, -1));
    }
}

void raw_connection::reset()
{
    // Closing would not do: the server holds another descriptor of the socket.
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    if (::connect(descriptor_, &none, sizeof none) != 0)
    {
        throw std::system_error(errno, std::system_category());
    }
}

scripted_server::scripted_server(script run)
    : run_(std::move(run)), where_{loopback, 0},
      descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
{
    auto address = to_sockaddr(where_);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof address;
    if (::bind(descriptor_, generic, size) != 0 ||
        ::listen(descriptor_, SOMAXCONN) != 0 ||
        ::getsockname(descriptor_, generic, &size) != 0)
    {
        throw std::system_error(errno, std::system_category());
    }
    where_.port_ = ntohs(address.sin_port);
    acceptor_ = std::thread(
        [this]
        {
            accept_loop();
        });
}

scripted_server::~scripted_server()
{
    ::shutdown(descriptor_, SHUT_RDWR);
    acceptor_.join();
    ::close(descriptor_);
    for (const int accepted : accepted_)
    {
        ::shutdown(accepted, SHUT_RDWR);
    }
    for (auto& thread : threads_)
    {
        thread.join();
    }
    for (const int accepted : accepted_)
    {
        ::close(accepted);
    }
}

void scripted_server::accept_loop()
{
    while (true)
    {
        const int accepted = ::accept(descriptor_, nullptr, nullptr);
        if (accepted < 0)
        {
            return;
        }
        ++connections_;
        accepted_.push_back(accepted);
        threads_.emplace_back(
            [this, accepted]
            {
                raw_connection connection(::dup(accepted));
                run_(connection);
                ::shutdown(accepted, SHUT_RDWR);
            });
    }
}

} // namespace hemlockshelf::test
