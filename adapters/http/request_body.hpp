#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_REQUEST_BODY_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_REQUEST_BODY_HPP

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>

#include "adapters/http/message_reader.hpp"

namespace hemlockshelf {

/// The body of a client's request as a sequence of pieces. It holds the bytes
/// from the start until they exceed a limit, so that they can be sent again.
class request_body
{
public:
    request_body(
        http_connection& client,
        request_parser& parser,
        std::size_t piece_bytes,
        std::size_t hold_limit);

    /// Asks for a `100 Continue` to be sent to the client before the first
    /// read from its connection.
    void expect_continue() noexcept
    {
        owes_continue_ = true;
    }

    /// Returns the next piece, which stays valid until the next call. Empty
    /// without a failure at the end of the body.
    boost::asio::awaitable<std::span<const char>>
    next(boost::system::error_code& failure);

    /// Like `next`, but from bytes that are at hand only.
    std::span<const char> next_buffered(boost::system::error_code& failure);

    /// Makes sure that the first piece, or the end of the body, has come.
    boost::asio::awaitable<boost::system::error_code> await_first_piece();

    /// Whether every piece has been returned and the message is complete.
    [[nodiscard]] bool finished() const;

    /// Whether the message has been read to its end.
    [[nodiscard]] bool received() const;

    [[nodiscard]] bool can_resend() const noexcept
    {
        return held_whole_;
    }

    /// Starts again from the first byte. Only if `can_resend`.
    void rewind() noexcept
    {
        replayed_ = 0;
    }

private:
    std::span<const char> replay();
    std::span<const char> keep(std::size_t count);

    http_connection& client_;
    request_parser& parser_;
    std::size_t piece_bytes_;
    std::size_t hold_limit_;
    std::vector<char> piece_;
    /// Bytes from the start of the body while `held_whole_`.
    std::string held_;
    std::size_t replayed_ = 0;
    bool held_whole_ = true;
    bool owes_continue_ = false;
};

} // namespace hemlockshelf

#endif
