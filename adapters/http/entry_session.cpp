#include "adapters/http/entry_session.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include "adapters/http/gate_answer.hpp"
#include "adapters/http/refusal.hpp"
#include "adapters/telemetry/event_log.hpp"
#include "hemlockshelf/core/error_table.hpp"
#include "hemlockshelf/core/random_source.hpp"
#include "hemlockshelf/retry/retry_after_delay.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Covers a question to another region and one to the next grantor.
constexpr std::chrono::milliseconds longest_quota_wait{300};

error body_error(const error_code& failure)
{
    if (failure == http::error::body_limit)
    {
        return {error_kind::body_too_large, "body: longer than the limit"};
    }
    return {error_kind::bad_request, "body: " + failure.message()};
}

/// A decision about a request's quota that comes from another thread.
struct quota_answer
{
    quota_answer(
        const asio::any_io_executor& executor, steady_time::duration wait)
        : timer_(executor, wait)
    {}

    asio::steady_timer timer_;
    result<void> outcome_ = make_error(
        error_kind::quota_unavailable,
        "the account's quota could not be checked in time");
};

bool is_unavailable(error_kind kind)
{
    return error_properties_of(kind).http_status_ ==
           static_cast<int>(http::status::service_unavailable);
}

} // namespace

entry_session::entry_session(
    http_connection::socket_type socket, entry_environment& environment)
    : relay_session(
          std::move(socket),
          environment.settings_,
          environment.time_,
          environment.group_),
      environment_(environment),
      pipeline_(
          client(),
          environment.settings_,
          [this](request_head& head)
          {
              return may_repeat(head);
          },
          [this](http_connection::socket_type socket_end)
          {
              return relay_session::start(std::make_shared<entry_session>(
                  std::move(socket_end), environment_));
          })
{}

bool entry_session::may_repeat(request_head& head) const
{
    const auto snapshot = environment_.snapshots_.current();
    return is_idempotent_call(*snapshot, head, settings().protocol_);
}

bool entry_session::read_pipelined()
{
    if (!may_read_pipelined_)
    {
        return false;
    }
    const auto failure = client().try_fill();
    if (failure == asio::error::would_block)
    {
        return true;
    }
    if (failure == asio::error::no_buffer_space)
    {
        return false;
    }
    if (failure)
    {
        stop(stop_reason::client_gone);
        return false;
    }
    if (!streaming_)
    {
        start_pipelined();
    }
    return true;
}

// A client that keeps pipelining would keep its connection in use, so that a
// draining node could not close it before the drain's time limit.
void entry_session::start_pipelined()
{
    if (!group().draining())
    {
        pipeline_.start_buffered();
    }
}

void entry_session::observe_answer_writes(peer_exchange& exchange)
{
    exchange.on_answer_write(
        [this, &answer = exchange.answer()](bool begins)
        {
            // A buffered answer is complete before its first write.
            streaming_ = streaming_ || !answer.is_done();
            on_answer_write(begins);
        });
}

bool entry_session::has_pipelined() const
{
    return !pipeline_.empty();
}

asio::awaitable<bool> entry_session::answer_pipelined()
{
    may_read_pipelined_ = true;
    streaming_ = false;
    // The session that serves the pipelined request refuses it if needed.
    unsent_ = false;
    start_pipelined();
    request_parser none;
    request_body body(client(), none, settings().relay_buffer_bytes_, 0);
    auto next = pipeline_.next();
    peer_exchange exchange(
        client(), body,
        connection_lease(local_, {}, std::move(next.connection_), true),
        settings());
    set_exchange(&exchange);
    // The session that serves the pipelined request enforces the deadline; it
    // answers or closes its end of the connection by then.
    set_time_limit(steady_time::max());
    watch_client();
    const auto failure =
        co_await exchange.read_answer_head(false, next.to_head_request_);
    bool keep = false;
    std::string loss_reason = failure.message();
    if (!failure)
    {
        keep = co_await relay_pipelined_answer(exchange, next.to_head_request_);
        loss_reason = "the answer is incomplete";
    }
    set_exchange(nullptr);
    exchange.finish(now());
    if (!keep && !exchange.answer_begun() && !caller_is_gone())
    {
        keep = co_await refuse_pipelined(next.to_head_request_, loss_reason);
    }
    co_return keep;
}

// The refusal does not claim that the request was not run: its session had
// started.
asio::awaitable<bool>
entry_session::refuse_pipelined(bool to_head_request, const std::string& detail)
{
    const error failure{
        error_kind::upstream_failed,
        "no answer to a pipelined request: " + detail};
    log_request_event<log_event_id::pipelined_answer_lost>(
        log_fields::detail(failure.message_));
    const bool keep = may_stay_open();
    may_read_pipelined_ = keep;
    const bool sent = co_await write_refusal(
        refusal_text(failure, false, keep, {}), to_head_request);
    co_return keep&& sent;
}

asio::awaitable<bool> entry_session::relay_pipelined_answer(
    peer_exchange& exchange, bool to_head_request)
{
    constexpr unsigned version = 11;
    auto& answer = exchange.answer();
    const bool keep = may_stay_open();
    may_read_pipelined_ = keep;
    begin_answer(now() + settings().drain_limit_);
    observe_answer_writes(exchange);
    const auto framing = answer_framing(answer, to_head_request, version);
    remove_connection_headers(answer.get());
    std::string head;
    append_head(head, answer.get());
    append_framing(head, framing);
    if (!keep)
    {
        append_field(head, "Connection", "close");
    }
    head.append("\r\n");
    const auto relayed = co_await exchange.relay_answer(
        std::move(head), framing.chunked_, settings().held_answer_limit_);
    if (relayed == relay_result::complete)
    {
        co_return keep;
    }
    if (!exchange.answer_begun())
    {
        co_return false;
    }
    log_caller_cut("the answer to a pipelined request is incomplete");
    client().reset();
    co_return false;
}

asio::awaitable<bool> entry_session::serve(request_parser& request)
{
    may_read_pipelined_ = false;
    streaming_ = false;
    if (group().refusing())
    {
        error failure{error_kind::draining, "the node stops"};
        co_return co_await reject(request, std::move(failure), true);
    }
    unsent_ = true;
    if (!environment_.ready_())
    {
        error failure{
            error_kind::not_ready,
            "the node has not yet received the current configuration"};
        co_return co_await reject(request, std::move(failure), true);
    }
    // Before the snapshot is taken: a newer one may come into force between the
    // two, and its confirmation says nothing about the older accounts.
    const bool accounts_confirmed =
        !environment_.accounts_confirmed_ || environment_.accounts_confirmed_();
    auto call = resolve_call(
        environment_.snapshots_.current(), request, settings().protocol_,
        environment_.vm_, now(), accounts_confirmed);
    if (!call)
    {
        auto failure = std::move(call.error());
        co_return co_await reject(request, std::move(failure), true);
    }
    if (group().ends_before(call->deadline_))
    {
        error failure{
            error_kind::draining,
            "the node stops before the deadline of the request"};
        co_return co_await reject(request, std::move(failure), true);
    }
    auto within_quota = co_await admit(*call);
    if (!within_quota)
    {
        auto failure = std::move(within_quota.error());
        co_return co_await reject(request, std::move(failure), true);
    }
    const auto& route = *call->route_;
    const auto ticket = environment_.call_quota_.take(
        call->account_, route.pool_key_, route.pool_->max_concurrent_calls_);
    if (!ticket)
    {
        error failure{
            error_kind::quota_exceeded,
            fmt::format(
                "account \"{}\": {} calls to pool \"{}\" are in progress",
                call->account_.value(), route.pool_->max_concurrent_calls_,
                route.pool_key_.value())};
        co_return co_await reject(request, std::move(failure), true);
    }
    request_body body(
        client(), request, settings().relay_buffer_bytes_,
        settings().retry_body_limit_);
    if (call->expects_continue_)
    {
        body.expect_continue();
    }
    environment_.router_.call_started(route, now());
    // Requests after one that closes the connection are not answered.
    may_read_pipelined_ = request.is_done() && wants_keep_alive(request);
    if (may_read_pipelined_)
    {
        start_pipelined();
    }
    call_state state{request, std::move(*call), std::move(body)};
    // The caller may have closed its connection before the request was read, if
    // this process was paused or short of processor time.
    if (client().probe_socket() == connection_readiness::closed)
    {
        record_caller_gone(state);
        co_return false;
    }
    co_return co_await run_attempts(state);
}

asio::awaitable<result<void>> entry_session::admit(const entry_call& call)
{
    result<void> outcome;
    if (environment_.account_quota_ == nullptr || call.caller_ == nullptr)
    {
        co_return outcome;
    }
    const client_account_id account{call.caller_->key_.value()};
    const auto& row = *call.caller_->row_;
    const account_quota quota{row.requests_per_second_, row.burst_};
    if (auto decided = environment_.account_quota_->try_admit(account, quota))
    {
        co_return *decided;
    }
    const auto executor = co_await asio::this_coro::executor;
    set_time_limit(call.deadline_);
    const auto answered = std::make_shared<quota_answer>(
        executor, std::min<steady_time::duration>(
                      longest_quota_wait, call.deadline_ - now()));
    environment_.account_quota_->admit_later(
        account, quota,
        // The timer must not outlive the event loop of the session.
        [executor,
         waiting = std::weak_ptr(answered)](const result<void>& decision)
        {
            const auto answer = waiting.lock();
            if (answer == nullptr)
            {
                return;
            }
            asio::post(
                executor,
                [answer, decision]
                {
                    answer->outcome_ = decision;
                    // Also ends a wait that has not begun yet.
                    answer->timer_.expires_at(
                        asio::steady_timer::time_point::min());
                });
        });
    error_code ignored;
    co_await answered->timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    co_return answered->outcome_;
}

asio::awaitable<bool> entry_session::run_attempts(call_state& state)
{
    const auto& route = *state.call_.route_;
    attempt_result attempt;
    while (true)
    {
        if (group().refusing())
        {
            if (attempt.not_run_)
            {
                attempt.failure_ = {error_kind::draining, "the node stops"};
            }
            co_return co_await answer_failure(state, attempt);
        }
        const auto choice =
            environment_.router_.choose(route, state.tried_gates_, now());
        if (!choice)
        {
            if (allow_queueing(state))
            {
                continue;
            }
            if (state.gates_asked_ == 0)
            {
                attempt.failure_ = choice.error();
            }
            co_return co_await answer_failure(state, attempt);
        }
        ++state.gates_asked_;
        attempt = attempt_result{};
        co_await try_gate(state, *choice, attempt);
        environment_.router_.finish(route, choice->vm_, attempt.report_, now());
        if (attempt.answered_)
        {
            co_return attempt.keep_connection_;
        }
        state.tried_gates_.push_back(choice->vm_);
        record_expected_wait(state, choice->vm_, attempt.expected_wait_);
        const bool last = attempt.decision_.reason_ == retry_reason::gates_used;
        if (caller_is_gone() ||
            (!attempt.decision_.retry() && !(last && allow_queueing(state))))
        {
            co_return co_await answer_failure(state, attempt);
        }
        if (group().refusing())
        {
            continue;
        }
        environment_.metrics_.add(
            metric_id::retries,
            error_properties_of(attempt.failure_.kind_).name_);
        log_retry(state, attempt, choice->vm_);
        state.may_have_run_ = state.may_have_run_ || !attempt.not_run_;
        state.body_.rewind();
        unsent_ = true;
        resume();
        set_time_limit(state.call_.deadline_);
        if (attempt.decision_.delay_.count() > 0)
        {
            co_await wait_until(now() + attempt.decision_.delay_);
        }
    }
}

void entry_session::record_expected_wait(
    call_state& state, const vm_id& gate, std::chrono::milliseconds wait)
{
    if (wait.count() > 0 &&
        (!state.expected_wait_ || wait < *state.expected_wait_))
    {
        state.expected_wait_ = wait;
        state.expected_wait_gate_ = gate;
    }
}

// Returns false if the request has already been queued once, or if no slot is
// expected before its deadline.
bool entry_session::allow_queueing(call_state& state) const
{
    if (state.may_queue_ || !state.expected_wait_ ||
        now() + *state.expected_wait_ >= state.call_.deadline_)
    {
        return false;
    }
    state.may_queue_ = true;
    std::erase(state.tried_gates_, state.expected_wait_gate_);
    return true;
}

asio::awaitable<bool>
entry_session::answer_failure(call_state& state, attempt_result& attempt)
{
    if (caller_is_gone())
    {
        record_caller_gone(state);
        co_return false;
    }
    unsent_ = false;
    const bool claims_not_run =
        attempt.not_run_ ||
        error_properties_of(attempt.failure_.kind_).execution_ ==
            execution::not_run;
    if (state.may_have_run_ && claims_not_run)
    {
        // That the last attempt did not run says nothing about the earlier
        // ones.
        attempt.not_run_ = false;
        attempt.failure_ = {
            error_kind::outcome_unknown,
            "an earlier attempt may have run; last attempt: " +
                attempt.failure_.message_};
    }
    else if (!attempt.not_run_ && is_unavailable(attempt.failure_.kind_))
    {
        // Callers read a 503 as a guarantee that the request was not run.
        attempt.failure_ = {
            error_kind::outcome_unknown,
            "the request may have run: " + attempt.failure_.message_};
    }
    attempt.failure_.retry_after_ =
        retry_after_delay(state.expected_wait_, thread_random());
    count_call(state, error_properties_of(attempt.failure_.kind_).name_);
    log_failure(state, attempt);
    const auto claim =
        attempt.not_run_ ? not_run_claim::by_kind : not_run_claim::never;
    may_read_pipelined_ = may_read_pipelined_ && can_keep(state.request_);
    co_return co_await refuse(
        state.request_, std::move(attempt.failure_), claim);
}

asio::awaitable<bool> entry_session::reject(
    const request_parser& request, error failure, bool not_run)
{
    unsent_ = false;
    environment_.metrics_.add(
        metric_id::calls, error_properties_of(failure.kind_).name_);
    log_request_event<log_event_id::call_rejected>(
        log_fields::request_id(std::string(field_value(
            request.get(), settings().protocol_.request_id_.c_str()))),
        log_fields::revision(environment_.snapshots_.current()->number()),
        log_fields::error_kind(failure.kind_),
        log_fields::detail(failure.message_));
    failure.retry_after_ =
        failure.retry_after_.count() > 0
            ? spread_delay(failure.retry_after_, thread_random())
            : retry_after_delay({}, thread_random());
    const auto claim = not_run ? not_run_claim::by_kind : not_run_claim::never;
    co_return co_await refuse(request, std::move(failure), claim);
}

asio::awaitable<void> entry_session::try_gate(
    call_state& state, const gate_choice& choice, attempt_result& attempt)
{
    auto lease = environment_.gate_connections_.take(
        choice.gate_, settings().pool_open_limit_,
        client().socket().get_executor(), now());
    if (!lease)
    {
        attempt.failure_ = std::move(lease.error());
        attempt.report_.outcome_ = call_outcome::refused;
        decide(state, attempt);
        co_return;
    }
    peer_exchange exchange(
        client(), state.body_, std::move(*lease), settings());
    set_exchange(&exchange);
    co_await use_gate(state, exchange, attempt);
    co_await exchange.close_request();
    set_exchange(nullptr);
    exchange.finish(now());
    // More of the body may have arrived before the request was closed than the
    // retry buffer holds, so that another attempt would lack its beginning.
    const auto reason = attempt.decision_.reason_;
    const bool would_retry =
        reason == retry_reason::retry || reason == retry_reason::gates_used;
    if (!attempt.answered_ && would_retry && !state.body_.can_resend())
    {
        attempt.decision_ = {retry_reason::body_gone};
    }
}

asio::awaitable<void> entry_session::use_gate(
    call_state& state, peer_exchange& exchange, attempt_result& attempt)
{
    set_silence_limit(state, settings().connect_timeout_);
    const auto connected =
        co_await exchange.connect(environment_.source_address_);
    if (!connected)
    {
        fail_attempt(state, exchange, connected.error().message_, attempt);
        co_return;
    }
    const bool handshake = !state.call_.idempotent_;
    attempt_parameters parameters;
    parameters.number_ = state.gates_asked_;
    parameters.handshake_ = handshake;
    parameters.may_queue_ = state.may_queue_;
    parameters.time_left_ =
        next_hop_timeout(state.call_.deadline_ - now(), environment_.retry_);
    auto head = attempt_head(state.call_, parameters, now());
    if (!head)
    {
        attempt.failure_ = {
            error_kind::deadline_exceeded, "no time is left for the call"};
        attempt.report_.outcome_ = call_outcome::cancelled;
        decide(state, attempt);
        co_return;
    }
    bool proceed = true;
    bool answered = false;
    if (handshake)
    {
        proceed = co_await await_continue(state, exchange, *head, attempt);
        answered = proceed &&
                   exchange.answer().get().result() != http::status::continue_;
        head->clear();
        // If the 100 is read after the deadline, the body must not be sent.
        if (proceed && !answered && now() >= state.call_.deadline_)
        {
            fail_attempt(
                state, exchange, "the 100 came after the deadline", attempt);
            proceed = false;
        }
    }
    if (proceed && !answered)
    {
        proceed = co_await dispatch(state, exchange, std::move(*head), attempt);
    }
    if (proceed)
    {
        co_await handle_answer(state, exchange, attempt);
    }
}

asio::awaitable<bool> entry_session::await_continue(
    call_state& state,
    peer_exchange& exchange,
    std::string head,
    attempt_result& attempt)
{
    set_silence_limit(state, settings().handshake_timeout_);
    watch_client();
    auto failure = co_await exchange.send_head(std::move(head));
    if (!failure)
    {
        failure = co_await exchange.read_answer_head(
            true, state.call_.to_head_request_,
            [&]
            {
                set_silence_limit(state, settings().handshake_timeout_);
            });
    }
    if (failure)
    {
        fail_attempt(state, exchange, failure.message(), attempt);
        co_return false;
    }
    co_return true;
}

asio::awaitable<bool> entry_session::dispatch(
    call_state& state,
    peer_exchange& exchange,
    std::string head,
    attempt_result& attempt)
{
    const bool chunked =
        !state.call_.idempotent_ || state.call_.framing_.chunked_;
    limit_silence_after_dispatch(state);
    attempt.not_run_ = false;
    attempt.may_have_arrived_ = true;
    unsent_ = false;
    ++state.attempts_;
    // After a failed write the gate may still have answered, unless nothing was
    // sent because the beginning of the request body was invalid or the
    // connection was already lost.
    const auto unsent = co_await exchange.send(std::move(head), chunked);
    if (exchange.nothing_sent())
    {
        attempt.not_run_ = true;
        attempt.may_have_arrived_ = false;
        --state.attempts_;
        fail_attempt(
            state, exchange, "nothing was sent: " + unsent.message(), attempt);
        co_return false;
    }
    if (exchange.client_failure())
    {
        fail_attempt(state, exchange, "nothing was sent", attempt);
        co_return false;
    }
    if (state.body_.received())
    {
        watch_client();
    }
    const auto failure = co_await exchange.read_answer_head(
        false, state.call_.to_head_request_,
        [&]
        {
            limit_silence_after_dispatch(state);
            if (state.body_.received())
            {
                watch_client();
            }
        });
    if (failure)
    {
        fail_attempt(state, exchange, failure.message(), attempt);
    }
    co_return !failure;
}

asio::awaitable<void> entry_session::handle_answer(
    call_state& state, peer_exchange& exchange, attempt_result& attempt)
{
    const response_head& head = exchange.answer().get();
    if (!answers_request(head, state.call_.request_id_))
    {
        fail_attempt(
            state, exchange, "the answer belongs to another request", attempt);
        co_return;
    }
    attempt.report_ = make_call_report(head);
    const auto refusal = parse_refusal(head);
    if (refusal)
    {
        attempt.failure_ = {refusal->kind_, "refused by the gate"};
        attempt.not_run_ = refusal->not_run_;
        attempt.expected_wait_ = refusal->expected_wait_;
        const bool dispatched = attempt.may_have_arrived_;
        attempt.may_have_arrived_ = !refusal->not_run_ || refusal->by_upstream_;
        state.attempts_ -= dispatched && !attempt.may_have_arrived_ ? 1 : 0;
        decide(state, attempt);
    }
    else if (
        state.call_.idempotent_ && state.body_.received() &&
        http::to_status_class(head.result_int()) ==
            http::status_class::server_error)
    {
        attempt.failure_ = {
            error_kind::upstream_failed,
            fmt::format("upstream: status {}", head.result_int())};
        attempt.answered_by_upstream_ = true;
        decide(state, attempt);
    }
    // A gate's refusal is not relayed: the entry answers with an error of its
    // own, which says when to retry and takes earlier attempts into account.
    if (refusal || attempt.decision_.retry())
    {
        co_await exchange.discard_answer();
        co_return;
    }
    co_await relay_to_caller(state, exchange, attempt);
}

asio::awaitable<void> entry_session::relay_to_caller(
    call_state& state, peer_exchange& exchange, attempt_result& attempt)
{
    auto& answer = exchange.answer();
    const auto refusal = parse_refusal(answer.get());
    const auto framing = answer_framing(
        answer, state.call_.to_head_request_, state.call_.version_);
    const bool keep = can_keep(state.request_) && exchange.request_sent();
    // If the connection closes, a later request on it would get no answer.
    may_read_pipelined_ = may_read_pipelined_ && keep;
    auto head = make_caller_response_head(
        answer.get(), framing, state.call_.request_id_, keep);
    begin_answer(state.call_.deadline_);
    observe_answer_writes(exchange);
    const auto relayed = co_await exchange.relay_answer(
        std::move(head), framing.chunked_, settings().held_answer_limit_);
    if (relayed == relay_result::complete)
    {
        attempt.answered_ = true;
        attempt.keep_connection_ = keep;
        count_call(
            state, refusal ? error_properties_of(refusal->kind_).name_
                           : std::string_view{"ok"});
        co_return;
    }
    attempt.not_run_ = false;
    fail_attempt(state, exchange, "the answer is incomplete", attempt);
    if (stopped() == stop_reason::none)
    {
        attempt.failure_.kind_ = error_kind::upstream_failed;
    }
    if (exchange.answer_begun())
    {
        attempt.answered_ = true;
        count_call(state, "cut");
        log_failure(state, attempt);
        log_caller_cut(attempt.failure_.message_);
        client().reset();
    }
}

void entry_session::fail_attempt(
    call_state& state,
    peer_exchange& exchange,
    const std::string& what,
    attempt_result& attempt)
{
    const bool late = now() >= state.call_.deadline_;
    const bool silent = stopped() == stop_reason::time_limit && !late;
    if (silent)
    {
        // If one connection to a peer is silent, the others usually are too.
        environment_.gate_connections_.close_idle(exchange.peer().peer());
    }
    const bool is_cancelled =
        caller_is_gone() || stopped() == stop_reason::refused;
    attempt.report_.outcome_ =
        is_cancelled ? call_outcome::cancelled : call_outcome::failed;
    attempt.failure_.message_ = fmt::format(
        "gate {}: {}", to_string(exchange.peer().peer()),
        stopped() == stop_reason::time_limit ? exchange.describe_silence()
                                             : what);
    attempt.failure_.kind_ = error_kind::outcome_unknown;
    if (attempt.not_run_)
    {
        attempt.failure_.kind_ =
            late ? error_kind::deadline_exceeded : error_kind::gate_unreachable;
    }
    const auto client_failure = exchange.client_failure();
    if (client_failure && client_failure != asio::error::operation_aborted)
    {
        attempt.failure_ = body_error(client_failure);
        attempt.report_.outcome_ = call_outcome::cancelled;
    }
    decide(state, attempt);
}

void entry_session::decide(call_state& state, attempt_result& attempt)
{
    failed_attempt failed;
    failed.kind_ = attempt.failure_.kind_;
    failed.not_run_ = attempt.not_run_;
    failed.idempotent_ = state.call_.idempotent_;
    failed.body_replayable_ = state.body_.can_resend();
    failed.may_have_arrived_ = attempt.may_have_arrived_;
    failed.answered_by_upstream_ = attempt.answered_by_upstream_;
    failed.attempts_ = state.attempts_;
    failed.max_attempts_ = state.call_.route_->route_->max_attempts_;
    failed.gates_asked_ = state.gates_asked_;
    failed.deadline_ = state.call_.deadline_;
    attempt.decision_ =
        environment_.router_.decide_retry(*state.call_.route_, failed, now());
    if (!attempt.decision_.retry())
    {
        environment_.metrics_.add(
            metric_id::retries_denied, to_string(attempt.decision_.reason_));
    }
}

void entry_session::set_silence_limit(
    const call_state& state, std::chrono::milliseconds longest)
{
    set_time_limit(std::min(state.call_.deadline_, now() + longest));
}

// The upstream may be at work on the request. A node that drains does not end
// it for the gate's silence: its callers can't tell such an end from a lost
// request, and a gate that is short of processor time is silent as well.
void entry_session::limit_silence_after_dispatch(const call_state& state)
{
    const auto deadline = state.call_.deadline_;
    set_time_limit(
        std::min(deadline, now() + settings().silence_timeout_), deadline);
}

void entry_session::count_call(
    const call_state& state, std::string_view outcome)
{
    environment_.metrics_.add(metric_id::calls, outcome);
    environment_.metrics_.observe(
        metric_id::call_duration, to_string(state.call_.route_->route_->class_),
        std::chrono::duration<double>(now() - state.call_.started_).count());
}

void entry_session::record_caller_gone(const call_state& state)
{
    count_call(state, "caller_gone");
    log_request_event<log_event_id::call_abandoned>(
        log_fields::request_id(state.call_.request_id_),
        log_fields::route(state.call_.route_->key_),
        log_fields::attempts(state.attempts_),
        log_fields::gates_asked(state.gates_asked_),
        log_fields::elapsed_ms(elapsed(state)));
}

void entry_session::log_retry(
    const call_state& state, const attempt_result& attempt, const vm_id& gate)
{
    log_request_event<log_event_id::call_retried>(
        log_fields::request_id(state.call_.request_id_),
        log_fields::route(state.call_.route_->key_), log_fields::peer(gate),
        log_fields::error_kind(attempt.failure_.kind_),
        log_fields::detail(attempt.failure_.message_),
        log_fields::not_run(attempt.not_run_),
        log_fields::attempts(state.attempts_),
        log_fields::gates_asked(state.gates_asked_),
        log_fields::time_left_ms(time_left(state)));
}

void entry_session::log_failure(
    const call_state& state, const attempt_result& attempt)
{
    const auto write = [&]<log_event_id Event>()
    {
        log_request_event<Event>(
            log_fields::request_id(state.call_.request_id_),
            log_fields::route(state.call_.route_->key_),
            log_fields::revision(state.call_.snapshot_->number()),
            log_fields::error_kind(attempt.failure_.kind_),
            log_fields::detail(attempt.failure_.message_),
            log_fields::reason(to_string(attempt.decision_.reason_)),
            log_fields::attempts(state.attempts_),
            log_fields::gates_asked(state.gates_asked_),
            log_fields::elapsed_ms(elapsed(state)),
            log_fields::time_left_ms(time_left(state)));
    };
    if (attempt.not_run_)
    {
        write.operator()<log_event_id::call_refused>();
        return;
    }
    write.operator()<log_event_id::call_failed>();
}

void entry_session::log_caller_cut(const std::string& detail) const
{
    log_request_event<log_event_id::caller_cut>(
        log_fields::reason(to_string(stopped())),
        log_fields::requests_behind(pipeline_.size()),
        log_fields::detail(detail));
}

std::chrono::milliseconds entry_session::elapsed(const call_state& state) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        now() - state.call_.started_);
}

std::chrono::milliseconds
entry_session::time_left(const call_state& state) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        state.call_.deadline_ - now());
}

bool entry_session::caller_is_gone() const
{
    return stopped() == stop_reason::client_gone ||
           stopped() == stop_reason::node_stops;
}

} // namespace hemlockshelf
