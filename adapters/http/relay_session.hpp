#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_RELAY_SESSION_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_RELAY_SESSION_HPP

#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/http/call_settings.hpp"
#include "adapters/http/http_connection.hpp"
#include "adapters/http/message_reader.hpp"
#include "adapters/http/session_group.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

class peer_exchange;

/// Reason for which the processing of a request ends early.
enum class stop_reason
{
    none,
    time_limit,
    client_gone,
    node_stops,
    /// The node drains and no request is in progress on the connection.
    drained,
    /// The node is about to stop and nothing of the request was forwarded.
    refused,
};

/// Returns the reason's name, for logs.
std::string_view to_string(stop_reason value);

/// Whether a refusal may say that the request was not run.
enum class not_run_claim
{
    /// Decided by the error kind, as listed in the error table.
    by_kind,
    /// Never: part of the request was already sent to a peer.
    never,
};

/// A client's connection, which serves one request after another. Every member
/// function except `close_now`, `close_if_idle` and `refuse_unforwarded` must
/// be called on the thread of the connection.
class relay_session : public std::enable_shared_from_this<relay_session>
{
public:
    relay_session(
        http_connection::socket_type socket,
        const call_settings& settings,
        const clock& time,
        session_group& group);
    virtual ~relay_session();

    relay_session(const relay_session&) = delete;
    relay_session& operator=(const relay_session&) = delete;

    /// Starts to serve the connection. Closes it at once and returns false if
    /// the group is full.
    static bool start(const std::shared_ptr<relay_session>& session);

    /// Closes the connection at once. May be called from any thread.
    void close_now();

    /// Closes the connection unless a request is being served or has begun to
    /// arrive. May be called from any thread.
    void close_if_idle();

    /// Stops the processing of a request of which nothing was forwarded, so
    /// that the session refuses it. May be called from any thread.
    void refuse_unforwarded();

protected:
    /// Serves one request whose head has been read. Returns whether the
    /// connection can be used for another one.
    virtual boost::asio::awaitable<bool> serve(request_parser& request) = 0;

    /// Whether nothing of the current request has been forwarded.
    [[nodiscard]] virtual bool nothing_forwarded() const = 0;

    /// Reads pipelined requests that the client sends while its current request
    /// is served. Returns whether the session should continue to watch the
    /// client's socket.
    virtual bool read_pipelined()
    {
        return false;
    }

    /// Whether pipelined requests have been started whose answers come next.
    [[nodiscard]] virtual bool has_pipelined() const
    {
        return false;
    }

    /// Relays the answer to the next pipelined request. Returns whether the
    /// connection can be used for another one.
    virtual boost::asio::awaitable<bool> answer_pipelined()
    {
        co_return false;
    }

    /// Answers a request with an error of this node. Returns whether the
    /// connection can be used for another request.
    boost::asio::awaitable<bool> refuse(
        const request_parser& request,
        error failure,
        not_run_claim claim = not_run_claim::by_kind,
        std::string_view extra_fields = {});

    /// Writes the text of an error answer, without its body for a HEAD request.
    /// Returns whether all of it was sent.
    boost::asio::awaitable<bool>
    write_refusal(std::string text, bool to_head_request);

    /// Sets the time at which the processing of the request is stopped.
    /// Replaces the earlier limit.
    void set_time_limit(steady_time when);

    /// Like `set_time_limit`, with a later limit that holds instead while the
    /// node drains.
    void set_time_limit(steady_time when, steady_time while_draining);

    /// Sets the time limit for relaying an answer that has arrived: `deadline`,
    /// extended by the time spent on waiting for the client, but by no more
    /// than the setting `answer_timeout`.
    void begin_answer(steady_time deadline);

    /// Reports that a write of the answer to the client begins or has ended.
    void on_answer_write(bool begins);

    /// Waits until the given time or until `wake` or `stop` is called.
    boost::asio::awaitable<void> wait_until(steady_time until);

    /// Ends a `wait_until` early.
    void wake();

    /// Stops the processing of the request when the client closes its
    /// connection. To be called only while no read from the client is pending.
    void watch_client();

    /// Clears an earlier stop, before a request or the next attempt begins.
    void resume();

    /// Cancels the pending operations of the request.
    void stop(stop_reason reason);

    [[nodiscard]] stop_reason stopped() const noexcept
    {
        return stop_;
    }

    /// Sets the exchange in progress, or null. `stop` interrupts it. If its
    /// peer has sent an answer that is still unread when a time limit ends, the
    /// limit is extended once so that the answer is read.
    void set_exchange(peer_exchange* exchange) noexcept
    {
        exchange_ = exchange;
    }

    /// Whether the connection may stay open: a draining node keeps it open only
    /// while pipelined requests that were started await their answers.
    [[nodiscard]] bool may_stay_open() const;

    /// Whether the connection can stay open after the answer to `request`.
    [[nodiscard]] bool can_keep(const request_parser& request) const;

    [[nodiscard]] http_connection& client() noexcept
    {
        return client_;
    }

    [[nodiscard]] const call_settings& settings() const noexcept
    {
        return settings_;
    }

    [[nodiscard]] steady_time now() const
    {
        return time_.now();
    }

    [[nodiscard]] session_group& group() noexcept
    {
        return group_;
    }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> serve_next();
    boost::asio::awaitable<void> lingering_close();
    /// Changes the current time limit without resetting `limit_extended_`.
    void move_time_limit(steady_time when);
    void arm_timer(steady_time when);
    void check_time_limit();
    void check_client(bool readable);

    http_connection client_;
    const call_settings& settings_;
    const clock& time_;
    session_group& group_;
    stop_reason stop_ = stop_reason::none;
    peer_exchange* exchange_ = nullptr;
    /// Expires at or before `limit_`. Moving the limit to a later time needs no
    /// timer operation.
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer wake_;
    bool timer_armed_ = false;
    /// Whether the current limit has been extended for an unread answer.
    bool limit_extended_ = false;
    /// Replaces `limit_` while the node drains, if it is later.
    steady_time draining_limit_;
    steady_time timer_expiry_;
    steady_time limit_;
    /// When the relay of the answer ends, extended by the time spent on waiting
    /// for the client.
    steady_time answer_deadline_;
    /// When the relay ends regardless of how slow the client is.
    steady_time answer_limit_;
    steady_time write_began_;
    bool watching_client_ = false;
    bool in_call_ = false;
};

} // namespace hemlockshelf

#endif
