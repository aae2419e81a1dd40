#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_HTTP_CONNECTION_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_HTTP_CONNECTION_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/system/error_code.hpp>

namespace hemlockshelf {

/// State of a connection that expects no data.
enum class connection_readiness
{
    idle,
    readable,
    closed,
};

/// A TCP connection and the bytes that were read from it but not yet parsed.
/// Used by at most one coroutine per direction, all on one thread.
class http_connection
{
public:
    using socket_type = boost::asio::ip::tcp::socket;

    /// The buffer holds at most a header of `max_header_bytes` and one read
    /// beyond it.
    http_connection(socket_type socket, std::size_t max_header_bytes);

    [[nodiscard]] socket_type& socket() noexcept
    {
        return socket_;
    }

    /// Bytes that were read but not yet consumed.
    [[nodiscard]] boost::beast::flat_buffer& buffer() noexcept
    {
        return buffer_;
    }

    /// Number of buffered bytes that the parser has seen and left in place,
    /// because they are the beginning of a line.
    [[nodiscard]] std::size_t bytes_left_by_parser() const noexcept
    {
        return left_by_parser_;
    }

    void set_bytes_left_by_parser(std::size_t count) noexcept
    {
        left_by_parser_ = count;
    }

    /// Reads at least one byte into the buffer. The error at the end of a
    /// connection that has failed is that failure instead of `eof`, also if it
    /// was reported to a write or a probe.
    boost::asio::awaitable<boost::system::error_code> fill();

    /// Reads available bytes into the buffer without waiting. The error is
    /// `would_block` if there are none, otherwise as for `fill`.
    boost::system::error_code try_fill();

    /// Writes up to four buffers completely.
    boost::asio::awaitable<boost::system::error_code> write(
        boost::asio::const_buffer first,
        boost::asio::const_buffer second = {},
        boost::asio::const_buffer third = {},
        boost::asio::const_buffer fourth = {});

    /// Cancels the operations in progress and fails later ones until `resume`.
    void interrupt();
    void resume() noexcept;

    /// Moves an open connection without operations in progress to another event
    /// loop. It is closed if that fails.
    void move_to(const boost::asio::any_io_executor& executor);

    void close();
    /// Closes with a TCP reset, so that the peer can't mistake a truncated
    /// message that ends with the connection for a complete one.
    void reset();

    /// Returns whether unread bytes or the end of the connection have arrived,
    /// without consuming anything.
    [[nodiscard]] connection_readiness probe();

    /// Like `probe`, but ignores the buffer.
    [[nodiscard]] connection_readiness probe_socket();

    /// Returns whether the peer has closed the connection, even if unread bytes
    /// precede its end.
    [[nodiscard]] bool peer_has_closed();

    /// Records that the peer has refused a request on this connection. A faulty
    /// peer may send the refusal again, and it would pass for the answer to
    /// another attempt of the same request.
    void record_refusal(std::string_view request_id);

    /// Returns whether a refusal of the request was read from this connection.
    [[nodiscard]] bool has_refused(std::string_view request_id) const;

    /// Number of refusals that were recorded.
    [[nodiscard]] std::size_t refusals() const noexcept
    {
        return refused_requests_.size();
    }

    /// Number of written bytes that the peer's kernel has not acknowledged;
    /// empty if the kernel doesn't report it. While a peer is silent, a lasting
    /// number above 0 shows a congested or broken link, and 0 shows that the
    /// peer's process doesn't answer.
    [[nodiscard]] std::optional<std::size_t> unacknowledged_bytes();

    /// Number of bytes that the kernel has accepted for sending.
    [[nodiscard]] std::uint64_t written_bytes() const noexcept
    {
        return written_;
    }

private:
    /// Counts a read or write. Returns whether other work of the event loop has
    /// to run first.
    [[nodiscard]] bool should_yield() noexcept;

    /// Records an error with which the connection failed, unless the peer had
    /// ended its direction before.
    void record_failure(const boost::system::error_code& failure) noexcept;

    /// Writes as much as the kernel accepts without waiting and returns the
    /// number of bytes, possibly 0.
    std::size_t write_without_waiting(
        const std::array<boost::asio::const_buffer, 4>& buffers,
        boost::system::error_code& failure);

    socket_type socket_;
    boost::beast::flat_buffer buffer_;
    std::size_t left_by_parser_ = 0;
    std::uint64_t written_ = 0;
    boost::system::error_code failure_;
    std::vector<std::string> refused_requests_;
    /// Consecutive reads and writes that completed without waiting.
    unsigned operations_without_wait_ = 0;
    bool interrupted_ = false;
};

} // namespace hemlockshelf

#endif
