#include "adapters/http/http_connection.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hemlockshelf {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t read_bytes = std::size_t{8} * 1024;

// A relay whose peers are faster than this process never waits. Without a limit
// it would keep the loop from running other sessions and expiring timers, such
// as the one that ends the relay at its deadline. 16 reads are 128 KiB.
constexpr unsigned max_unwaited = 16;

} // namespace

http_connection::http_connection(
    socket_type socket, std::size_t max_header_bytes)
    : socket_(std::move(socket)), buffer_(max_header_bytes + read_bytes)
{}

bool http_connection::must_yield() noexcept
{
    if (unwaited_ < max_unwaited)
    {
        ++unwaited_;
        return false;
    }
    unwaited_ = 0;
    return true;
}

asio::awaitable<error_code> http_connection::fill()
{
    if (must_yield())
    {
        co_await asio::post(socket_.get_executor(), asio::use_awaitable);
    }
    while (true)
    {
        if (interrupted_)
        {
            co_return asio::error::operation_aborted;
        }
        auto failure = try_fill();
        if (failure != asio::error::would_block)
        {
            co_return failure;
        }
        // A node holds many idle connections; their buffers would make up most
        // of its memory.
        if (buffer_.size() == 0)
        {
            buffer_.shrink_to_fit();
        }
        unwaited_ = 0;
        co_await socket_.async_wait(
            asio::socket_base::wait_read,
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            co_return failure;
        }
    }
}

error_code http_connection::try_fill()
{
    const auto room = buffer_.max_size() - buffer_.size();
    if (room == 0)
    {
        return asio::error::no_buffer_space;
    }
    error_code failure;
    if (!socket_.non_blocking())
    {
        socket_.non_blocking(true, failure);
    }
    if (failure)
    {
        return failure;
    }
    // Read aside, so that the connection's own buffer grows by what has come
    // and not by what could have come.
    thread_local std::array<char, read_bytes> space;
    const auto count = socket_.read_some(
        asio::buffer(space.data(), std::min(room, read_bytes)), failure);
    buffer_.commit(asio::buffer_copy(
        buffer_.prepare(count), asio::buffer(space.data(), count)));
    return failure;
}

asio::awaitable<error_code> http_connection::write(
    asio::const_buffer first,
    asio::const_buffer second,
    asio::const_buffer third,
    asio::const_buffer fourth)
{
    if (must_yield())
    {
        co_await asio::post(socket_.get_executor(), asio::use_awaitable);
    }
    error_code failure;
    if (interrupted_)
    {
        co_return asio::error::operation_aborted;
    }
    const std::array<asio::const_buffer, 4> buffers{
        first, second, third, fourth};
    const auto written = write_at_once(buffers, failure);
    if (failure || written == asio::buffer_size(buffers))
    {
        co_return failure;
    }
    boost::beast::buffers_suffix<std::array<asio::const_buffer, 4>> rest(
        buffers);
    rest.consume(written);
    unwaited_ = 0;
    written_ += co_await asio::async_write(
        socket_, rest, asio::redirect_error(asio::use_awaitable, failure));
    co_return failure;
}

// An asynchronous write that completes at once goes through the loop's queue,
// which asks the system for other events (one system call) before the
// coroutine goes on.
std::size_t http_connection::write_at_once(
    const std::array<asio::const_buffer, 4>& buffers, error_code& failure)
{
    if (!socket_.non_blocking())
    {
        socket_.non_blocking(true, failure);
    }
    if (failure)
    {
        return 0;
    }
    const auto written = socket_.write_some(buffers, failure);
    written_ += written;
    if (failure == asio::error::would_block)
    {
        failure = {};
    }
    return written;
}

void http_connection::interrupt()
{
    interrupted_ = true;
    error_code ignored;
    socket_.cancel(ignored);
}

void http_connection::resume() noexcept
{
    interrupted_ = false;
}

void http_connection::close()
{
    error_code ignored;
    socket_.close(ignored);
}

void http_connection::reset()
{
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

void http_connection::move_to(const asio::any_io_executor& executor)
{
    error_code failure;
    const auto protocol = asio::ip::tcp::v4();
    const auto handle = socket_.release(failure);
    socket_ = socket_type(executor);
    if (failure)
    {
        return;
    }
    socket_.assign(protocol, handle, failure);
    if (failure)
    {
        ::close(handle);
    }
}

connection_readiness http_connection::probe()
{
    return buffer_.size() > 0 ? connection_readiness::readable : probe_socket();
}

connection_readiness http_connection::probe_socket()
{
    if (!socket_.is_open())
    {
        return connection_readiness::closed;
    }
    char byte = 0;
    const auto count =
        ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
    {
        return connection_readiness::readable;
    }
    const bool nothing_yet =
        count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return nothing_yet ? connection_readiness::idle
                       : connection_readiness::closed;
}

bool http_connection::peer_has_closed()
{
    if (!socket_.is_open())
    {
        return true;
    }
    pollfd look{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&look, 1, 0) > 0 &&
           (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::optional<std::size_t> http_connection::unacknowledged_bytes()
{
    int bytes = 0;
    if (!socket_.is_open() ||
        ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) != 0)
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(bytes);
}

} // namespace hemlockshelf
