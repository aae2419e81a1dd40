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

/// Dependencies that all sessions of a gate share.
struct gate_environment
{
    const call_settings& settings_;
    const clock& time_;
    upstream_gate& gate_;
    /// Whether `shed_is_not_run` is set for a pool.
    std::function<bool(std::string_view)> shed_is_not_run_;
    metric_sink& metrics_;
    session_group& group_;
    std::string source_address_;
};

/// Serves an entry's connection and forwards each request to the upstream of
/// this node.
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
        /// Bytes of the body that have been reported to the gate.
        std::uint64_t reported_body_bytes_ = 0;
    };

    /// An error, and whether the request was certainly not run.
    struct call_failure
    {
        error error_;
        bool not_run_ = true;
        /// Estimated time until a slot is free; 0 if there is no estimate.
        std::chrono::nanoseconds expected_wait_{0};
    };

    /// Result of an attempt to run a request on the upstream.
    struct attempt_outcome
    {
        std::optional<call_failure> failure_;
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
    call_upstream(call_state& state, std::optional<call_failure>& failed);
    boost::asio::awaitable<result<connection_lease>>
    take_connection(call_state& state);
    boost::asio::awaitable<void> exchange_with_upstream(
        call_state& state, peer_exchange& exchange, attempt_outcome& outcome);
    boost::asio::awaitable<void> forward_answer(
        call_state& state, peer_exchange& exchange, attempt_outcome& outcome);
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
    /// Reports to the gate that `bytes` bytes of the body have arrived, once
    /// enough of them are new.
    void report_body_part(call_state& state, std::uint64_t bytes);
    /// Reports to the gate that the whole body of `bytes` bytes has arrived,
    /// and logs a long body that was delayed.
    void report_body_end(const call_state& state, byte_count bytes);
    std::optional<call_failure> begin_request(const call_state& state);
    void end_request(const call_state& state, bool not_run);
    [[nodiscard]] std::string answer_head(
        const call_state& state,
        response_head& head,
        const body_framing& framing,
        const attempt_outcome& outcome) const;
    [[nodiscard]] std::string gate_fields(const call_state& state) const;
    [[nodiscard]] bool is_past_deadline(const call_state& state) const;

    /// Turns the interim answers `102 Processing` on or off, which tell a
    /// waiting entry that its request is still in progress.
    void set_progress_reporting(bool on);
    void arm_progress_timer();
    void send_progress();

    gate_environment& environment_;
    /// Whether no byte of the current call has been sent to the upstream.
    bool unsent_ = false;
    boost::asio::steady_timer progress_timer_;
    bool progress_timer_armed_ = false;
    bool progress_reporting_ = false;
    steady_time progress_reporting_since_;
};

} // namespace hemlockshelf

#endif
