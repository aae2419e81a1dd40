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

/// How the relay of an answer ended.
enum class relay_result
{
    complete,
    /// The peer's answer is not whole, or came too late.
    peer_failed,
    /// The client took no more bytes.
    client_failed,
};

/// One attempt to pass a request to a peer and the peer's answer to the
/// client. `close_request` must be awaited before the exchange ends.
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

    /// Opens the peer's connection, if it is a new one.
    boost::asio::awaitable<result<void>> connect(const std::string& source);

    /// Sends the head and what is at hand of the body, and goes on with the
    /// rest of the body in the background.
    boost::asio::awaitable<boost::system::error_code>
    send(std::string head, bool chunked);

    /// Says how many bytes of a body the head promises. A connection over which
    /// fewer were sent is not used again: the peer would take the next request
    /// for the rest of the body.
    void set_body_length(std::optional<std::uint64_t> size)
    {
        promised_ = size;
    }

    /// Calls `handler` after each write of the request with the bytes of its
    /// body that were sent so far and whether that is all of it.
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

    /// Sends the head alone.
    boost::asio::awaitable<boost::system::error_code>
    send_head(std::string head);

    /// Reads the head of the next answer. Interim answers are dropped, but
    /// for a 100 if `until_continue`; `on_interim` is called for each.
    boost::asio::awaitable<boost::system::error_code> read_answer_head(
        bool until_continue,
        bool to_head_request,
        const std::function<void()>& on_interim = {});

    [[nodiscard]] response_parser& answer()
    {
        return *answer_;
    }

    /// Sends `head` and the answer's body to the client. Nothing is sent before
    /// an answer of at most `hold_bytes` bytes is whole.
    boost::asio::awaitable<relay_result>
    relay_answer(std::string head, bool chunked, std::size_t hold_bytes = 0);

    /// Whether part of the answer may have reached the client.
    [[nodiscard]] bool answer_begun() const noexcept
    {
        return answer_begun_;
    }

    /// Reads the rest of a short answer that is not passed on. False if it is
    /// not whole or longer than a buffer.
    boost::asio::awaitable<bool> drop_answer();

    /// Stops sending the request, if it is still being sent.
    boost::asio::awaitable<void> close_request();

    /// Ends the operations on the peer's connection.
    void interrupt();

    /// Whether bytes of the peer wait to be read.
    [[nodiscard]] bool answer_waits();

    /// Gives the connection back if the exchange was whole in both
    /// directions; closes it otherwise. Only after `close_request`.
    void finish(steady_time now);

    /// Whether the whole request was sent.
    [[nodiscard]] bool request_sent() const noexcept
    {
        return request_sent_;
    }

    /// Whether `send` failed before a byte of what it was to write had left, so
    /// that the peer can't have begun to run the request.
    [[nodiscard]] bool nothing_sent() const noexcept
    {
        return nothing_sent_;
    }

    /// Whether part of the body may have reached the peer.
    [[nodiscard]] bool body_released() const noexcept
    {
        return body_released_;
    }

    /// The failure that ended the reading of the client's body.
    [[nodiscard]] boost::system::error_code client_failure() const noexcept
    {
        return client_failure_;
    }

    [[nodiscard]] const connection_lease& peer() const noexcept
    {
        return peer_;
    }

    /// Says what a peer that is given up has been sent and has taken.
    [[nodiscard]] std::string describe_silence();

private:
    boost::asio::awaitable<boost::system::error_code>
    write_piece(std::string_view head, std::span<const char> piece);
    boost::asio::awaitable<void> pump();
    void report_write(bool begins);
    [[nodiscard]] bool may_hold(std::size_t hold_bytes) const;
    boost::asio::awaitable<boost::system::error_code> hold_answer(
        std::string& held, std::span<char> space, std::size_t hold_bytes);
    void start_pump();
    [[nodiscard]] bool reusable() const;

    http_connection& client_;
    request_body& body_;
    connection_lease peer_;
    const call_settings& settings_;
    std::optional<response_parser> answer_;
    std::array<char, 24> request_line_{};
    std::array<char, 24> answer_line_{};
    std::optional<std::uint64_t> promised_;
    std::uint64_t body_sent_ = 0;
    std::function<void(std::uint64_t, bool)> on_request_write_;
    std::function<void(bool)> on_answer_write_;
    bool connected_ = false;
    bool chunked_ = false;
    bool request_sent_ = false;
    bool nothing_sent_ = false;
    bool body_released_ = false;
    bool answer_begun_ = false;
    bool answer_whole_ = false;
    boost::system::error_code client_failure_;
    bool pumping_ = false;
    bool closing_ = false;
    boost::asio::steady_timer pump_ended_;
};

} // namespace hemlockshelf

#endif
