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

/// The body of a client's request as a sequence of pieces. Keeps the bytes read
/// so far until they exceed a limit, so that the body can be sent again.
class request_body
{
public:
    request_body(
        http_connection& client,
        request_parser& parser,
        std::size_t piece_bytes,
        std::size_t hold_limit);

    /// Makes the first read from the client's connection send it `100
    /// Continue`.
    void expect_continue() noexcept
    {
        continue_pending_ = true;
    }

    /// Returns the next piece, valid until the next call. Empty without a
    /// failure at the end of the body.
    boost::asio::awaitable<std::span<const char>>
    next(boost::system::error_code& failure);

    /// Like `next`, but returns only bytes that have already been read.
    std::span<const char> next_buffered(boost::system::error_code& failure);

    /// Waits for the first piece or the end of the body, and keeps the piece
    /// for `next`.
    boost::asio::awaitable<boost::system::error_code> await_first_piece();

    /// Whether every piece has been returned and the message is complete.
    [[nodiscard]] bool finished() const;

    /// Whether the message has been read to its end.
    [[nodiscard]] bool received() const;

    [[nodiscard]] bool can_resend() const noexcept
    {
        return holds_all_bytes_;
    }

    /// Makes `next` start again at the first byte. Requires `can_resend`.
    void rewind() noexcept
    {
        replay_position_ = 0;
    }

private:
    std::span<const char> replay();
    std::span<const char> hold(std::size_t count);

    http_connection& client_;
    request_parser& parser_;
    std::size_t piece_bytes_;
    std::size_t hold_limit_;
    std::vector<char> piece_;
    /// The bytes of the body read so far, while `holds_all_bytes_`.
    std::string held_bytes_;
    std::size_t replay_position_ = 0;
    bool holds_all_bytes_ = true;
    bool continue_pending_ = false;
};

} // namespace hemlockshelf

#endif
