#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_PEER_EXCHANGE_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_PEER_EXCHANGE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>

#include "adapters/http/call_settings.hpp"
#include "adapters/http/connection_lease.hpp"
#include "adapters/http/http_connection.hpp"
#include "adapters/http/message_head.hpp"
#include "adapters/http/message_reader.hpp"
#include "adapters/http/request_body.hpp"

namespace hemlockshelf {

/// Result of the relay of an answer.
enum class relay_result
{
    complete,
    /// The peer's answer is incomplete or came too late.
    peer_failed,
    /// Writing to the client failed.
    client_failed,
};

/// One attempt to forward a request to a peer and to relay the peer's answer to
/// the client. `close_request` must be awaited before the exchange is
/// destroyed.
class peer_exchange
{
public:
    peer_exchange(
        http_connection& client,
        request_body& body,
        connection_lease peer,
        const call_settings& settings);

    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;

    /// Connects to the peer, unless the connection is a reused one.
    boost::asio::awaitable<result<void>> connect(const std::string& source);

    /// Sends the head and the part of the body that is already available, and
    /// sends the rest of the body in the background.
    boost::asio::awaitable<boost::system::error_code>
    send(std::string head, bool chunked);

    /// Sets the body length that the request head announces. A connection over
    /// which fewer bytes were sent is not reused, because the peer would read
    /// the next request as the rest of the body.
    void set_body_length(std::optional<std::uint64_t> size)
    {
        announced_size_ = size;
    }

    /// Calls `handler` after each write of the request with the number of body
    /// bytes sent so far and whether the body is complete.
    void on_request_write(std::function<void(std::uint64_t, bool)> handler)
    {
        on_request_write_ = std::move(handler);
    }

    /// Calls `handler` with true before each write of the answer to the client
    /// and with false after it.
    void on_answer_write(std::function<void(bool)> handler)
    {
        on_answer_write_ = std::move(handler);
    }

    /// Sends only the head.
    boost::asio::awaitable<boost::system::error_code>
    send_head(std::string head);

    /// Reads the head of the next answer. Interim answers are discarded, except
    /// for a 100 if `until_continue` is set; `on_interim` is called for each
    /// discarded one. The error is `bad_status` if the status is 101 or not in
    /// the range from 100 to 599, for too many interim answers, and for an
    /// unsupported transfer coding.
    boost::asio::awaitable<boost::system::error_code> read_answer_head(
        bool until_continue,
        bool to_head_request,
        const std::function<void()>& on_interim = {});

    [[nodiscard]] response_parser& answer()
    {
        return *answer_;
    }

    /// Sends `head` and the answer's body to the client. An answer of at most
    /// `hold_bytes` bytes is buffered and sent only when it is complete.
    boost::asio::awaitable<relay_result>
    relay_answer(std::string head, bool chunked, std::size_t hold_bytes = 0);

    /// Whether part of the answer may have reached the client.
    [[nodiscard]] bool answer_begun() const noexcept
    {
        return answer_begun_;
    }

    /// Reads and discards the rest of an answer that is not relayed. Returns
    /// false if it is incomplete or longer than the relay buffer.
    boost::asio::awaitable<bool> discard_answer();

    /// Stops sending the request if it is still being sent.
    boost::asio::awaitable<void> close_request();

    /// Cancels the pending operations on the peer's connection.
    void interrupt();

    /// Whether the peer has sent bytes that have not been read.
    [[nodiscard]] bool has_unread_answer();

    /// Returns the connection to its pool if the exchange was complete in both
    /// directions; closes it otherwise. Call only after `close_request`.
    void finish(steady_time now);

    /// Whether the whole request was sent.
    [[nodiscard]] bool request_sent() const noexcept
    {
        return request_sent_;
    }

    /// Whether `send` failed before it had written a byte, so that the peer
    /// can't have begun to run the request.
    [[nodiscard]] bool nothing_sent() const noexcept
    {
        return nothing_sent_;
    }

    /// Whether part of the body may have reached the peer.
    [[nodiscard]] bool body_released() const noexcept
    {
        return body_released_;
    }

    /// The error that ended the reading of the request body from the client.
    [[nodiscard]] boost::system::error_code client_failure() const noexcept
    {
        return client_failure_;
    }

    [[nodiscard]] const connection_lease& peer() const noexcept
    {
        return peer_;
    }

    /// Describes a timeout of the peer: how much of the request was sent and
    /// how much of it the peer has not acknowledged.
    [[nodiscard]] std::string describe_silence();

private:
    boost::asio::awaitable<boost::system::error_code>
    write_piece(std::string_view head, std::span<const char> piece);
    boost::asio::awaitable<void> send_remaining_body();
    void report_write(bool begins);
    [[nodiscard]] bool may_hold(std::size_t hold_bytes) const;
    boost::asio::awaitable<boost::system::error_code> hold_answer(
        std::string& held, std::span<char> space, std::size_t hold_bytes);
    void start_sending_body();
    [[nodiscard]] bool reusable() const;

    http_connection& client_;
    request_body& body_;
    connection_lease peer_;
    const call_settings& settings_;
    std::optional<response_parser> answer_;
    std::array<char, 24> request_line_{};
    std::array<char, 24> answer_line_{};
    std::optional<std::uint64_t> announced_size_;
    std::uint64_t body_sent_ = 0;
    std::function<void(std::uint64_t, bool)> on_request_write_;
    std::function<void(bool)> on_answer_write_;
    bool connected_ = false;
    bool chunked_ = false;
    bool request_sent_ = false;
    bool nothing_sent_ = false;
    bool body_released_ = false;
    bool answer_begun_ = false;
    bool answer_complete_ = false;
    boost::system::error_code client_failure_;
    bool sending_body_ = false;
    bool closing_ = false;
    boost::asio::steady_timer sending_ended_;
};

} // namespace hemlockshelf

#endif
