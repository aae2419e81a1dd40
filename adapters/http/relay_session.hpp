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

/// Why the work on a request ends early.
enum class stop_reason
{
    none,
    time_limit,
    client_gone,
    node_stops,
    /// The node drains and the connection carried no request.
    drained,
    /// The node is about to stop and nothing of the request was passed on.
    refused,
};

/// Returns the reason's name, for logs.
std::string_view to_string(stop_reason value);

/// Whether a refusal may say that the request was not run.
enum class not_run_claim
{
    /// As the error table says.
    by_kind,
    /// Part of the request has already gone to a peer.
    never,
};

/// A client's connection, which carries one request after another. Everything
/// but `close_now`, `close_if_idle` and `refuse_unforwarded` runs on the thread
/// of the connection.
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

    /// Serves the connection until it ends. Closes it at once and returns false
    /// if the group is full.
    static bool start(const std::shared_ptr<relay_session>& session);

    /// Ends the connection. May be called from any thread.
    void close_now();

    /// Ends the connection unless a request is served on it or has begun to
    /// arrive. May be called from any thread.
    void close_if_idle();

    /// Ends the work on a request of which nothing was passed on, so that the
    /// session refuses it. May be called from any thread.
    void refuse_unforwarded();

protected:
    /// Serves one request whose head has been read. Returns whether the
    /// connection can carry another one.
    virtual boost::asio::awaitable<bool> serve(request_parser& request) = 0;

    /// Whether nothing of the request that is served has been passed on.
    [[nodiscard]] virtual bool nothing_forwarded() const = 0;

    /// Reads what the client sends while its request is served. Returns whether
    /// the session should go on watching the client.
    virtual bool read_ahead()
    {
        return false;
    }

    /// Whether requests were started ahead whose answers are due next.
    [[nodiscard]] virtual bool has_ahead() const
    {
        return false;
    }

    /// Passes on the next answer of those. Returns whether the connection can
    /// carry another one.
    virtual boost::asio::awaitable<bool> answer_ahead()
    {
        co_return false;
    }

    /// Sends an answer that the node itself gives. Returns whether the
    /// connection can carry another request.
    boost::asio::awaitable<bool> refuse(
        const request_parser& request,
        error failure,
        not_run_claim claim = not_run_claim::by_kind,
        std::string_view extra_fields = {});

    /// Writes an answer of the node itself, without its body if it answers a
    /// HEAD request. Returns whether all was sent.
    boost::asio::awaitable<bool>
    write_refusal(std::string text, bool to_head_request);

    /// Ends the work on the request at `when` unless another limit replaces
    /// this one.
    void set_time_limit(steady_time when);

    /// Begins the relay of an answer that has come. It ends at `deadline`, but
    /// the time that the client takes does not count, up to the setting
    /// `answer_timeout`.
    void begin_answer(steady_time deadline);

    /// Tells that a write of the answer to the client begins or has ended.
    void on_answer_write(bool begins);

    /// Waits until `until`, `wake` or `stop`.
    boost::asio::awaitable<void> wait_until(steady_time until);

    /// Ends a `pause`.
    void wake();

    /// Ends the work on the request when the client closes its connection.
    /// Only while nothing is read from the client.
    void watch_client();

    /// Starts the work on a request, or on the next attempt, anew.
    void resume();

    /// Ends the operations in progress on the request.
    void stop(stop_reason reason);

    [[nodiscard]] stop_reason stopped() const noexcept
    {
        return stop_;
    }

    /// Sets the exchange in progress, if any. `stop` interrupts it. An answer
    /// of its peer that waits at the end of a time limit is read before the
    /// work is given up.
    void set_exchange(peer_exchange* exchange) noexcept
    {
        exchange_ = exchange;
    }

    /// Whether the node lets the connection stay open: one that leaves still
    /// answers the requests that it has started.
    [[nodiscard]] bool stays_open() const;

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
    boost::asio::awaitable<void> close_gently();
    /// Changes the time of the current limit. Whether it has been extended
    /// stays as it is.
    void move_limit(steady_time when);
    void arm_timer(steady_time when);
    void check_time();
    void check_client(bool readable);

    http_connection client_;
    const call_settings& settings_;
    const clock& time_;
    session_group& group_;
    stop_reason stop_ = stop_reason::none;
    peer_exchange* exchange_ = nullptr;
    /// Fires at or before `limit_`; a later limit needs no timer operation.
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer wake_;
    bool timer_armed_ = false;
    /// Whether the current limit has been extended for an answer that waits.
    bool extended_ = false;
    steady_time armed_until_;
    steady_time limit_;
    /// When the relay of the answer ends if the client takes what comes.
    steady_time answer_due_;
    /// When it ends however slow the client is.
    steady_time answer_limit_;
    steady_time write_began_;
    bool watching_ = false;
    bool in_call_ = false;
};

} // namespace hemlockshelf

#endif
