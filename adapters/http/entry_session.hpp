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
#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/metric_sink.hpp"
#include "hemlockshelf/retry/retry_settings.hpp"

namespace hemlockshelf {

/// What the sessions of an entry share.
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
    /// Whether the node has joined; until then every call is refused.
    std::function<bool()> ready_;
};

/// A caller's connection. Passes each request to a gate.
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
    bool read_ahead() override;
    [[nodiscard]] bool has_ahead() const override;
    boost::asio::awaitable<bool> answer_ahead() override;

private:
    /// How one attempt ended.
    struct attempt_end
    {
        /// Whether an answer to the caller has begun.
        bool answered_ = false;
        bool keep_connection_ = false;
        error failure_;
        /// Whether the failure proves that the request was not run.
        bool not_run_ = true;
        /// Whether the request may have reached the upstream.
        bool arrived_ = false;
        /// Whether the failure is the upstream's own answer.
        bool answered_by_upstream_ = false;
        /// Time until the gate that refused expects to have room; 0 if it does
        /// not say.
        std::chrono::milliseconds room_in_{0};
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
        /// Whether an attempt before the current one may have run, as only an
        /// idempotent request allows.
        bool may_have_run_ = false;
        /// Shortest time after which a gate that refused expects to have room.
        std::optional<std::chrono::milliseconds> room_in_{};
        /// The gate that named it.
        vm_id room_at_{};
        /// Whether the gate that is soonest to have room is asked to let the
        /// request wait, because no gate has room now.
        bool patient_ = false;
        /// Gates that are not asked again.
        std::vector<vm_id> tried_{};
    };

    boost::asio::awaitable<bool> run_attempts(call_state& state);
    boost::asio::awaitable<bool>
    fail(const request_parser& request, error failure, bool not_run);
    boost::asio::awaitable<bool>
    finish_failed(call_state& state, attempt_end& end);
    boost::asio::awaitable<void>
    try_gate(call_state& state, const gate_choice& choice, attempt_end& end);
    boost::asio::awaitable<void>
    use_gate(call_state& state, peer_exchange& exchange, attempt_end& end);
    boost::asio::awaitable<bool> await_continue(
        call_state& state,
        peer_exchange& exchange,
        std::string head,
        attempt_end& end);
    boost::asio::awaitable<bool> dispatch(
        call_state& state,
        peer_exchange& exchange,
        std::string head,
        attempt_end& end);
    boost::asio::awaitable<void>
    take_answer(call_state& state, peer_exchange& exchange, attempt_end& end);
    boost::asio::awaitable<void>
    pass_answer(call_state& state, peer_exchange& exchange, attempt_end& end);

    void lose_gate(
        call_state& state,
        peer_exchange& exchange,
        const std::string& what,
        attempt_end& end);
    void decide(call_state& state, attempt_end& end);
    void note_room(
        call_state& state, const vm_id& gate, std::chrono::milliseconds room);
    bool wait_for_room(call_state& state) const;
    void
    limit_silence(const call_state& state, std::chrono::milliseconds longest);
    void count_call(const call_state& state, std::string_view outcome);
    /// Accounts for a caller that has left.
    void abandon(const call_state& state);
    void log_retry(
        const call_state& state, const attempt_end& end, const vm_id& gate);
    void log_end(const call_state& state, const attempt_end& end);
    /// Reports that the caller's connection is closed before the end of an
    /// answer.
    void log_cut(const std::string& detail) const;
    [[nodiscard]] std::chrono::milliseconds
    elapsed(const call_state& state) const;
    [[nodiscard]] std::chrono::milliseconds
    time_left(const call_state& state) const;
    [[nodiscard]] bool caller_is_gone() const;

    [[nodiscard]] bool may_repeat(request_head& head) const;
    /// Starts the requests that have been read behind the one that is served.
    void take_ahead();
    /// Follows the writes of the exchange's answer to the caller.
    void follow_answer(peer_exchange& exchange);
    boost::asio::awaitable<bool>
    pass_ahead(peer_exchange& exchange, bool to_head_request);
    /// Answers a pipelined request whose answer is lost.
    boost::asio::awaitable<bool>
    refuse_ahead(bool to_head_request, const std::string& detail);

    entry_environment& environment_;
    uncounted_connections local_;
    /// Whether a stop of the node may refuse the request: nothing was passed
    /// on, or an attempt has ended and the next one has not been passed on.
    bool unsent_ = false;
    /// Whether what the client sends now belongs to a later request. The body
    /// of the request that is served has a reader of its own.
    bool may_read_ahead_ = false;
    /// Whether part of an answer has been written that is not held until it is
    /// whole. Its break costs the connection, and the caller gets no answer to
    /// a request behind it: what comes now waits for its end.
    bool streaming_ = false;
    request_pipeline pipeline_;
};

} // namespace hemlockshelf

#endif
