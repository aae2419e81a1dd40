#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_ENTRY_SESSION_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_ENTRY_SESSION_HPP

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "adapters/http/call_quota.hpp"
#include "adapters/http/call_router.hpp"
#include "adapters/http/connection_pool.hpp"
#include "adapters/http/entry_call.hpp"
#include "adapters/http/peer_exchange.hpp"
#include "adapters/http/relay_session.hpp"
#include "adapters/http/request_body.hpp"
#include "adapters/http/request_pipeline.hpp"
#include "adapters/http/request_quota.hpp"
#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/metric_sink.hpp"
#include "hemlockshelf/retry/retry_settings.hpp"

namespace hemlockshelf {

/// Dependencies and settings shared by the sessions of an entry.
struct entry_environment
{
    const call_settings& settings_;
    const retry_settings& retry_;
    const clock& time_;
    const snapshot_store& snapshots_;
    call_router& router_;
    connection_pool& gate_connections_;
    call_quota& call_quota_;
    metric_sink& metrics_;
    session_group& group_;
    vm_id vm_;
    std::string source_address_;
    /// Whether the node has joined the cluster; until then every call is
    /// refused.
    std::function<bool()> ready_;
    /// Whether the node may rely on the client accounts that it holds; empty if
    /// it always may.
    std::function<bool()> accounts_confirmed_{};
    /// Null if there are no quotas.
    request_quota* account_quota_ = nullptr;
};

/// A caller's connection. Forwards each request to a gate.
class entry_session final : public relay_session
{
public:
    entry_session(
        http_connection::socket_type socket, entry_environment& environment);

protected:
    boost::asio::awaitable<bool> serve(request_parser& request) override;
    [[nodiscard]] bool nothing_forwarded() const override
    {
        return unsent_;
    }
    bool read_pipelined() override;
    [[nodiscard]] bool has_pipelined() const override;
    boost::asio::awaitable<bool> answer_pipelined() override;

private:
    /// Result of one attempt.
    struct attempt_result
    {
        /// Whether sending an answer to the caller has begun.
        bool answered_ = false;
        bool keep_connection_ = false;
        error failure_;
        /// Whether the failure proves that the request was not run.
        bool not_run_ = true;
        /// Whether the request may have reached the upstream.
        bool may_have_arrived_ = false;
        /// Whether the failure is an answer of the upstream itself.
        bool answered_by_upstream_ = false;
        /// Time until the gate that refused expects to have a free slot; 0 if
        /// it does not say.
        std::chrono::milliseconds expected_wait_{0};
        retry_decision decision_;
        call_report report_;
    };

    struct call_state
    {
        request_parser& request_;
        entry_call call_;
        request_body body_;
        /// Attempts that may have reached an upstream.
        unsigned attempts_ = 0;
        unsigned gates_asked_ = 0;
        /// Whether an earlier attempt may have run. Only idempotent requests
        /// are retried in that case.
        bool may_have_run_ = false;
        /// Shortest time until a gate that refused expects to have a free slot.
        std::optional<std::chrono::milliseconds> expected_wait_{};
        /// The gate that reported `expected_wait_`.
        vm_id expected_wait_gate_{};
        /// Whether the request may wait in the queue of the gate that expects a
        /// free slot first, because no gate has one now.
        bool may_queue_ = false;
        /// Gates that are not asked again.
        std::vector<vm_id> tried_gates_{};
    };

    /// Admits a call within the quota of its account, if it has one. The errors
    /// are those of `request_quota`.
    boost::asio::awaitable<result<void>> admit(const entry_call& call);
    boost::asio::awaitable<bool> run_attempts(call_state& state);
    boost::asio::awaitable<bool>
    reject(const request_parser& request, error failure, bool not_run);
    boost::asio::awaitable<bool>
    answer_failure(call_state& state, attempt_result& attempt);
    boost::asio::awaitable<void> try_gate(
        call_state& state, const gate_choice& choice, attempt_result& attempt);
    boost::asio::awaitable<void> use_gate(
        call_state& state, peer_exchange& exchange, attempt_result& attempt);
    boost::asio::awaitable<bool> await_continue(
        call_state& state,
        peer_exchange& exchange,
        std::string head,
        attempt_result& attempt);
    boost::asio::awaitable<bool> dispatch(
        call_state& state,
        peer_exchange& exchange,
        std::string head,
        attempt_result& attempt);
    boost::asio::awaitable<void> handle_answer(
        call_state& state, peer_exchange& exchange, attempt_result& attempt);
    boost::asio::awaitable<void> relay_to_caller(
        call_state& state, peer_exchange& exchange, attempt_result& attempt);

    void fail_attempt(
        call_state& state,
        peer_exchange& exchange,
        const std::string& what,
        attempt_result& attempt);
    void decide(call_state& state, attempt_result& attempt);
    void record_expected_wait(
        call_state& state, const vm_id& gate, std::chrono::milliseconds wait);
    bool allow_queueing(call_state& state) const;
    void set_silence_limit(
        const call_state& state, std::chrono::milliseconds longest);
    /// Like `set_silence_limit` with the setting `silence_timeout`, for a
    /// request that has been sent to a gate.
    void limit_silence_after_dispatch(const call_state& state);
    void count_call(const call_state& state, std::string_view outcome);
    /// Counts and logs a call whose caller has closed its connection.
    void record_caller_gone(const call_state& state);
    void log_retry(
        const call_state& state,
        const attempt_result& attempt,
        const vm_id& gate);
    void log_failure(const call_state& state, const attempt_result& attempt);
    /// Logs that the caller's connection is closed before the end of an answer.
    void log_caller_cut(const std::string& detail) const;
    [[nodiscard]] std::chrono::milliseconds
    elapsed(const call_state& state) const;
    [[nodiscard]] std::chrono::milliseconds
    time_left(const call_state& state) const;
    [[nodiscard]] bool caller_is_gone() const;

    [[nodiscard]] bool may_repeat(request_head& head) const;
    /// Starts the pipelined requests that have been read after the current one.
    void start_pipelined();
    /// Observes the writes of the exchange's answer to the caller.
    void observe_answer_writes(peer_exchange& exchange);
    boost::asio::awaitable<bool>
    relay_pipelined_answer(peer_exchange& exchange, bool to_head_request);
    /// Answers a pipelined request whose own answer was lost.
    boost::asio::awaitable<bool>
    refuse_pipelined(bool to_head_request, const std::string& detail);

    entry_environment& environment_;
    uncounted_connections local_;
    /// Whether the request may be refused when the node stops: nothing has been
    /// forwarded, or an attempt has ended and the next one has not been
    /// forwarded.
    bool unsent_ = false;
    /// Whether the bytes that the client sends now belong to a later request.
    /// The body of the current request is read by `request_body`.
    bool may_read_pipelined_ = false;
    /// Whether part of an answer that is streamed, not buffered as a whole, has
    /// been written. If such an answer fails midway, the connection is closed
    /// and later requests on it get no answer, so that they are not started
    /// before the answer ends.
    bool streaming_ = false;
    request_pipeline pipeline_;
};

} // namespace hemlockshelf

#endif
