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

constexpr std::size_t max_read_bytes = std::size_t{8} * 1024;

// A relay never waits if its peers are faster than this process. Without a
// limit it would starve the other sessions and the timers of the event loop,
// including the timer of its own deadline. 16 reads are 128 KiB.
constexpr unsigned max_operations_without_wait = 16;

} // namespace

http_connection::http_connection(
    socket_type socket, std::size_t max_header_bytes)
    : socket_(std::move(socket)), buffer_(max_header_bytes + max_read_bytes)
{}

bool http_connection::should_yield() noexcept
{
    if (operations_without_wait_ < max_operations_without_wait)
    {
        ++operations_without_wait_;
        return false;
    }
    operations_without_wait_ = 0;
    return true;
}

asio::awaitable<error_code> http_connection::fill()
{
    if (should_yield())
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
        // Releases the empty buffer before waiting: a node has many idle
        // connections, whose buffers would make up most of its memory.
        if (buffer_.size() == 0)
        {
            buffer_.shrink_to_fit();
        }
        operations_without_wait_ = 0;
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
    const auto free_bytes = buffer_.max_size() - buffer_.size();
    if (free_bytes == 0)
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
    // Reads into a buffer of the thread first, so that the connection's own
    // buffer grows only by the number of bytes that have arrived.
    thread_local std::array<char, max_read_bytes> space;
    const auto count = socket_.read_some(
        asio::buffer(space.data(), std::min(free_bytes, max_read_bytes)),
        failure);
    buffer_.commit(asio::buffer_copy(
        buffer_.prepare(count), asio::buffer(space.data(), count)));
    return failure == asio::error::eof && failure_ ? failure_ : failure;
}

asio::awaitable<error_code> http_connection::write(
    asio::const_buffer first,
    asio::const_buffer second,
    asio::const_buffer third,
    asio::const_buffer fourth)
{
    if (should_yield())
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
    const auto written = write_without_waiting(buffers, failure);
    record_failure(failure);
    if (failure || written == asio::buffer_size(buffers))
    {
        co_return failure;
    }
    boost::beast::buffers_suffix<std::array<asio::const_buffer, 4>> rest(
        buffers);
    rest.consume(written);
    operations_without_wait_ = 0;
    written_ += co_await asio::async_write(
        socket_, rest, asio::redirect_error(asio::use_awaitable, failure));
    record_failure(failure);
    co_return failure;
}

// The kernel reports the failure of a connection only once, and later reads see
// an ordinary end. A body that ends with the connection would then pass for a
// complete one. A write fails with `broken_pipe` if the end of the peer's
// direction arrived before the reset: nothing that the peer sent is missing.
void http_connection::record_failure(const error_code& failure) noexcept
{
    if (failure && failure != asio::error::broken_pipe &&
        failure != asio::error::operation_aborted)
    {
        failure_ = failure;
    }
}

// Tries a synchronous write first: an asynchronous write that completes at once
// passes through the queue of the event loop, which polls for other events (one
// system call) before the coroutine resumes.
std::size_t http_connection::write_without_waiting(
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

void http_connection::record_refusal(std::string_view request_id)
{
    refused_requests_.emplace_back(request_id);
}

bool http_connection::has_refused(std::string_view request_id) const
{
    return std::ranges::find(refused_requests_, request_id) !=
           refused_requests_.end();
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
    if (count == 0)
    {
        return connection_readiness::closed;
    }
    const error_code failure(errno, boost::system::system_category());
    if (failure == asio::error::would_block)
    {
        return connection_readiness::idle;
    }
    record_failure(failure);
    return connection_readiness::closed;
}

bool http_connection::peer_has_closed()
{
    if (!socket_.is_open())
    {
        return true;
    }
    pollfd descriptor{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&descriptor, 1, 0) > 0 &&
           (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
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
