#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_HTTP_CONNECTION_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_HTTP_CONNECTION_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/system/error_code.hpp>

namespace hemlockshelf {

/// What a look at a connection without a pending answer shows.
enum class connection_readiness
{
    idle,
    readable,
    closed,
};

/// A TCP connection with the bytes that were read from it and not yet parsed.
/// Used by one coroutine per direction, all on one thread.
class http_connection
{
public:
    using socket_type = boost::asio::ip::tcp::socket;

    /// The buffer has room for a whole header and what came with it.
    http_connection(socket_type socket, std::size_t max_header_bytes);

    [[nodiscard]] socket_type& socket() noexcept
    {
        return socket_;
    }

    /// Bytes that were read and not yet consumed.
    [[nodiscard]] boost::beast::flat_buffer& buffer() noexcept
    {
        return buffer_;
    }

    /// Reads at least one byte into the buffer.
    boost::asio::awaitable<boost::system::error_code> fill();

    /// Reads what has arrived into the buffer without waiting. The error is
    /// `would_block` if nothing has, `eof` at the end of the connection.
    boost::system::error_code try_fill();

    /// Writes up to four buffers completely.
    boost::asio::awaitable<boost::system::error_code> write(
        boost::asio::const_buffer first,
        boost::asio::const_buffer second = {},
        boost::asio::const_buffer third = {},
        boost::asio::const_buffer fourth = {});

    /// Ends the operations in progress and fails later ones until `resume`.
    void interrupt();
    void resume() noexcept;

    /// Moves an open connection without operations in progress to another
    /// loop. It is closed if that fails.
    void move_to(const boost::asio::any_io_executor& executor);

    void close();
    /// Closes with a reset, so that the peer can't take a cut message whose
    /// end is marked by the end of the connection for a whole one.
    void reset();

    /// Tells, without consuming anything, whether bytes or the end of the
    /// connection wait to be read.
    [[nodiscard]] connection_readiness probe();

    /// Like `probe`, whatever the buffer holds.
    [[nodiscard]] connection_readiness probe_socket();

    /// Tells whether the peer has closed the connection, also where bytes wait
    /// to be read before its end.
    [[nodiscard]] bool peer_has_closed();

    /// Bytes that were written and that the peer's system has not acknowledged;
    /// nothing if the system does not say. Any that stay show a link that is
    /// full or cut, none a peer whose process does not answer.
    [[nodiscard]] std::optional<std::size_t> unacknowledged_bytes();

    /// Bytes that the system has taken for the peer.
    [[nodiscard]] std::uint64_t written_bytes() const noexcept
    {
        return written_;
    }

private:
    /// Counts a read or write. Returns whether the loop's other work has to run
    /// first.
    [[nodiscard]] bool must_yield() noexcept;

    /// Writes what the system takes without waiting and returns the number of
    /// bytes, 0 if it takes none now.
    std::size_t write_at_once(
        const std::array<boost::asio::const_buffer, 4>& buffers,
        boost::system::error_code& failure);

    socket_type socket_;
    boost::beast::flat_buffer buffer_;
    std::uint64_t written_ = 0;
    /// Reads and writes since the last one that waited.
    unsigned unwaited_ = 0;
    bool interrupted_ = false;
};

} // namespace hemlockshelf

#endif
