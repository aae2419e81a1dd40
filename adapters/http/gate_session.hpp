#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_GATE_SESSION_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_GATE_SESSION_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/http/gate_call_head.hpp"
#include "adapters/http/peer_exchange.hpp"
#include "adapters/http/relay_session.hpp"
#include "adapters/http/request_body.hpp"
#include "adapters/http/upstream_gate.hpp"
#include "hemlockshelf/core/metric_sink.hpp"

namespace hemlockshelf {

/// What the sessions of a gate share.
struct gate_environment
{
    const call_settings& settings_;
    const clock& time_;
    upstream_gate& gate_;
    /// Whether a pool's row says `shed_is_not_run`.
    std::function<bool(std::string_view)> shed_is_not_run_;
    metric_sink& metrics_;
    session_group& group_;
    std::string source_address_;
};

/// An entry's connection. Passes each request to the node's own upstream.
class gate_session final : public relay_session
{
public:
    gate_session(
        http_connection::socket_type socket, gate_environment& environment);

protected:
    boost::asio::awaitable<bool> serve(request_parser& request) override;
    [[nodiscard]] bool nothing_forwarded() const override
    {
        return unsent_;
    }

private:
    struct call_state
    {
        request_parser& parser_;
        gate_request request_;
        request_body body_;
        steady_time arrived_at_;
        /// Set once the call is admitted.
        gate_call_id id_{};
        steady_time body_awaited_at_{};
        /// Bytes of the body of which the gate has been told.
        std::uint64_t told_bytes_ = 0;
    };

    /// A failure, and whether the request was not run.
    struct call_failure
    {
        error error_;
        bool not_run_ = true;
        /// Estimate of the time until there is room; 0 if there is none.
        std::chrono::nanoseconds room_in_{0};
    };

    /// How the use of the upstream ended.
    struct attempt_end
    {
        std::optional<call_failure> failed_;
        /// Whether the upstream certainly did not run the request.
        bool not_run_ = false;
        bool keep_connection_ = false;
    };

    boost::asio::awaitable<bool> run(call_state& state);
    boost::asio::awaitable<std::optional<call_failure>>
    admit(call_state& state, gate_call_id& id);
    boost::asio::awaitable<std::optional<call_failure>>
    await_body(call_state& state);
    boost::asio::awaitable<bool>
    try_upstream(call_state& state, std::optional<call_failure>& failed);
    boost::asio::awaitable<result<connection_lease>>
    take_connection(call_state& state);
    boost::asio::awaitable<void>
    use_upstream(call_state& state, peer_exchange& exchange, attempt_end& end);
    boost::asio::awaitable<void>
    pass_answer(call_state& state, peer_exchange& exchange, attempt_end& end);
    boost::asio::awaitable<bool> fail(call_state& state, call_failure failure);

    [[nodiscard]] call_failure upstream_failure(
        const peer_exchange& exchange, const std::string& what) const;
    void
    log_failure(const call_state& state, const call_failure& failure) const;
    void log_upstream_failure(
        const call_state& state,
        error_kind kind,
        const std::string& detail,
        bool not_run) const;
    /// Tells the gate of a part of a body of which so many bytes have arrived.
    void receive_part(call_state& state, std::uint64_t bytes);
    /// Ends the wait for a body of so many bytes and reports a long one.
    void end_body(const call_state& state, byte_count bytes);
    std::optional<call_failure> begin_request(const call_state& state);
    void end_request(const call_state& state, bool not_run);
    [[nodiscard]] std::string answer_head(
        const call_state& state,
        response_head& head,
        const body_framing& framing,
        const attempt_end& end) const;
    [[nodiscard]] std::string gate_fields(const call_state& state) const;
    [[nodiscard]] bool late(const call_state& state) const;

    /// Says whether the entry waits and must be told that work goes on.
    void report_progress(bool on);
    void arm_progress();
    void send_progress();

    gate_environment& environment_;
    /// Whether nothing of the call that is served has gone to the upstream.
    bool unsent_ = false;
    boost::asio::steady_timer progress_timer_;
    bool progress_armed_ = false;
    bool reporting_ = false;
    steady_time reporting_since_;
};

} // namespace hemlockshelf

#endif
