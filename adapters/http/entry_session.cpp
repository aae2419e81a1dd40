#include "adapters/http/entry_session.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/error.hpp>
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

error body_error(const error_code& failure)
{
    if (failure == http::error::body_limit)
    {
        return {error_kind::body_too_large, "body: longer than the limit"};
    }
    return {error_kind::bad_request, "body: " + failure.message()};
}

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
          [this](http_connection::socket_type far)
          {
              return relay_session::start(std::make_shared<entry_session>(
                  std::move(far), environment_));
          })
{}

bool entry_session::may_repeat(request_head& head) const
{
    const auto snapshot = environment_.snapshots_.current();
    return is_idempotent_call(*snapshot, head, settings().protocol_);
}

bool entry_session::read_ahead()
{
    if (!may_read_ahead_)
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
        take_ahead();
    }
    return true;
}

// Requests that follow one another would keep the connection, and so a node
// that leaves, in use until the cut.
void entry_session::take_ahead()
{
    if (!group().draining())
    {
        pipeline_.start_buffered();
    }
}

void entry_session::follow_answer(peer_exchange& exchange)
{
    exchange.on_answer_write(
        [this, &answer = exchange.answer()](bool begins)
        {
            // A held answer is whole before its first write.
            streaming_ = streaming_ || !answer.is_done();
            on_answer_write(begins);
        });
}

bool entry_session::has_ahead() const
{
    return !pipeline_.empty();
}

asio::awaitable<bool> entry_session::answer_ahead()
{
    may_read_ahead_ = true;
    streaming_ = false;
    // The session that serves the request refuses it where that is true.
    unsent_ = false;
    take_ahead();
    request_parser none;
    request_body body(client(), none, settings().relay_buffer_bytes_, 0);
    auto next = pipeline_.next();
    peer_exchange exchange(
        client(), body,
        connection_lease(local_, {}, std::move(next.connection_), true),
        settings());
    set_exchange(&exchange);
    // The session that serves the request keeps its deadline and then answers
    // or closes its end.
    set_time_limit(steady_time::max());
    watch_client();
    const auto failure =
        co_await exchange.read_answer_head(false, next.to_head_request_);
    bool keep = false;
    std::string lost = failure.message();
    if (!failure)
    {
        keep = co_await pass_ahead(exchange, next.to_head_request_);
        lost = "it is not whole";
    }
    set_exchange(nullptr);
    exchange.finish(now());
    if (!keep && !exchange.answer_begun() && !caller_is_gone())
    {
        keep = co_await refuse_ahead(next.to_head_request_, lost);
    }
    co_return keep;
}

// The request may have run, since its session had started.
asio::awaitable<bool>
entry_session::refuse_ahead(bool to_head_request, const std::string& detail)
{
    const error failure{
        error_kind::upstream_failed,
        "no answer to a pipelined request: " + detail};
    log_request_event<log_event_id::pipelined_answer_lost>(
        log_fields::detail(failure.message_));
    const bool keep = stays_open();
    may_read_ahead_ = keep;
    const bool sent = co_await write_refusal(
        refusal_text(failure, false, keep, {}), to_head_request);
    co_return keep&& sent;
}

asio::awaitable<bool>
entry_session::pass_ahead(peer_exchange& exchange, bool to_head_request)
{
    constexpr unsigned version = 11;
    auto& answer = exchange.answer();
    const bool keep = stays_open();
    may_read_ahead_ = keep;
    begin_answer(now() + settings().drain_limit_);
    follow_answer(exchange);
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
    log_cut("the answer to a pipelined request is not whole");
    client().reset();
    co_return false;
}

asio::awaitable<bool> entry_session::serve(request_parser& request)
{
    may_read_ahead_ = false;
    streaming_ = false;
    if (group().refusing())
    {
        error failure{error_kind::draining, "the node stops"};
        co_return co_await fail(request, std::move(failure), true);
    }
    unsent_ = true;
    if (!environment_.ready_())
    {
        error failure{
            error_kind::not_ready,
            "the node looks for the current configuration"};
        co_return co_await fail(request, std::move(failure), true);
    }
    auto call = resolve_call(
        environment_.snapshots_.current(), request, settings().protocol_,
        environment_.vm_, now());
    if (!call)
    {
        auto failure = std::move(call.error());
        co_return co_await fail(request, std::move(failure), true);
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
        co_return co_await fail(request, std::move(failure), true);
    }
    request_body body(
        client(), request, settings().relay_buffer_bytes_,
        settings().retry_body_limit_);
    if (call->expects_continue_)
    {
        body.expect_continue();
    }
    environment_.router_.call_started(route, now());
    // What follows a request that ends the connection is not answered.
    may_read_ahead_ = request.is_done() && wants_keep_alive(request);
    if (may_read_ahead_)
    {
        take_ahead();
    }
    call_state state{request, std::move(*call), std::move(body)};
    // Guards against work for a caller that left while the request waited to be
    // read: this process was paused or short of processor time.
    if (client().probe_socket() == connection_readiness::closed)
    {
        abandon(state);
        co_return false;
    }
    co_return co_await run_attempts(state);
}

asio::awaitable<bool> entry_session::run_attempts(call_state& state)
{
    const auto& route = *state.call_.route_;
    attempt_end end;
    while (true)
    {
        if (group().refusing())
        {
            if (end.not_run_)
            {
                end.failure_ = {error_kind::draining, "the node stops"};
            }
            co_return co_await finish_failed(state, end);
        }
        const auto choice =
            environment_.router_.choose(route, state.tried_, now());
        if (!choice)
        {
            if (wait_for_room(state))
            {
                continue;
            }
            if (state.gates_asked_ == 0)
            {
                end.failure_ = choice.error();
            }
            co_return co_await finish_failed(state, end);
        }
        ++state.gates_asked_;
        end = attempt_end{};
        co_await try_gate(state, *choice, end);
        environment_.router_.finish(route, choice->vm_, end.report_, now());
        if (end.answered_)
        {
            co_return end.keep_connection_;
        }
        state.tried_.push_back(choice->vm_);
        note_room(state, choice->vm_, end.room_in_);
        const bool last = end.decision_.reason_ == retry_reason::gates_used;
        if (caller_is_gone() ||
            (!end.decision_.retry() && !(last && wait_for_room(state))))
        {
            co_return co_await finish_failed(state, end);
        }
        if (group().refusing())
        {
            continue;
        }
        environment_.metrics_.add(
            metric_id::retries, error_properties_of(end.failure_.kind_).name_);
        log_retry(state, end, choice->vm_);
        state.may_have_run_ = state.may_have_run_ || !end.not_run_;
        state.body_.rewind();
        unsent_ = true;
        resume();
        set_time_limit(state.call_.deadline_);
        if (end.decision_.delay_.count() > 0)
        {
            co_await wait_until(now() + end.decision_.delay_);
        }
    }
}

void entry_session::note_room(
    call_state& state, const vm_id& gate, std::chrono::milliseconds room)
{
    if (room.count() > 0 && (!state.room_in_ || room < *state.room_in_))
    {
        state.room_in_ = room;
        state.room_at_ = gate;
    }
}

// Returns false if the request has waited already or would wait in vain.
bool entry_session::wait_for_room(call_state& state) const
{
    if (state.patient_ || !state.room_in_ ||
        now() + *state.room_in_ >= state.call_.deadline_)
    {
        return false;
    }
    state.patient_ = true;
    std::erase(state.tried_, state.room_at_);
    return true;
}

asio::awaitable<bool>
entry_session::finish_failed(call_state& state, attempt_end& end)
{
    if (caller_is_gone())
    {
        abandon(state);
        co_return false;
    }
    unsent_ = false;
    const bool claims_not_run =
        end.not_run_ || error_properties_of(end.failure_.kind_).execution_ ==
                            execution::not_run;
    if (state.may_have_run_ && claims_not_run)
    {
        // The last attempt's proof says nothing about the attempts before.
        end.not_run_ = false;
        end.failure_ = {
            error_kind::outcome_unknown,
            "an earlier attempt may have run; the last one: " +
                end.failure_.message_};
    }
    else if (!end.not_run_ && is_unavailable(end.failure_.kind_))
    {
        // Callers take 503 for a request that was not run.
        end.failure_ = {
            error_kind::outcome_unknown,
            "without proof that nothing ran: " + end.failure_.message_};
    }
    end.failure_.retry_after_ =
        retry_after_delay(state.room_in_, thread_random());
    count_call(state, error_properties_of(end.failure_.kind_).name_);
    log_end(state, end);
    const auto claim =
        end.not_run_ ? not_run_claim::by_kind : not_run_claim::never;
    may_read_ahead_ = may_read_ahead_ && can_keep(state.request_);
    co_return co_await refuse(state.request_, std::move(end.failure_), claim);
}

asio::awaitable<bool>
entry_session::fail(const request_parser& request, error failure, bool not_run)
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
    failure.retry_after_ = retry_after_delay({}, thread_random());
    const auto claim = not_run ? not_run_claim::by_kind : not_run_claim::never;
    co_return co_await refuse(request, std::move(failure), claim);
}

asio::awaitable<void> entry_session::try_gate(
    call_state& state, const gate_choice& choice, attempt_end& end)
{
    auto lease = environment_.gate_connections_.take(
        choice.gate_, settings().pool_open_limit_,
        client().socket().get_executor(), now());
    if (!lease)
    {
        end.failure_ = std::move(lease.error());
        end.report_.outcome_ = call_outcome::refused;
        decide(state, end);
        co_return;
    }
    peer_exchange exchange(
        client(), state.body_, std::move(*lease), settings());
    set_exchange(&exchange);
    co_await use_gate(state, exchange, end);
    co_await exchange.close_request();
    set_exchange(nullptr);
    exchange.finish(now());
    // Until the request was closed, more of the body may have come than can be
    // held, so that another attempt would start in its middle.
    const auto reason = end.decision_.reason_;
    const bool would_go_on =
        reason == retry_reason::retry || reason == retry_reason::gates_used;
    if (!end.answered_ && would_go_on && !state.body_.can_resend())
    {
        end.decision_ = {retry_reason::body_gone};
    }
}

asio::awaitable<void> entry_session::use_gate(
    call_state& state, peer_exchange& exchange, attempt_end& end)
{
    limit_silence(state, settings().connect_timeout_);
    const auto connected =
        co_await exchange.connect(environment_.source_address_);
    if (!connected)
    {
        lose_gate(state, exchange, connected.error().message_, end);
        co_return;
    }
    const bool handshake = !state.call_.idempotent_;
    attempt_terms terms;
    terms.number_ = state.gates_asked_;
    terms.handshake_ = handshake;
    terms.patient_ = state.patient_;
    terms.time_left_ =
        next_hop_timeout(state.call_.deadline_ - now(), environment_.retry_);
    auto head = attempt_head(state.call_, terms, now());
    if (!head)
    {
        end.failure_ = {
            error_kind::deadline_exceeded, "no time is left for the call"};
        end.report_.outcome_ = call_outcome::cancelled;
        decide(state, end);
        co_return;
    }
    bool go_on = true;
    bool answered = false;
    if (handshake)
    {
        go_on = co_await await_continue(state, exchange, *head, end);
        answered = go_on &&
                   exchange.answer().get().result() != http::status::continue_;
        head->clear();
        // The 100 may have been read late: the body is not to follow it then.
        if (go_on && !answered && now() >= state.call_.deadline_)
        {
            lose_gate(state, exchange, "the 100 came after the deadline", end);
            go_on = false;
        }
    }
    if (go_on && !answered)
    {
        go_on = co_await dispatch(state, exchange, std::move(*head), end);
    }
    if (go_on)
    {
        co_await take_answer(state, exchange, end);
    }
}

asio::awaitable<bool> entry_session::await_continue(
    call_state& state,
    peer_exchange& exchange,
    std::string head,
    attempt_end& end)
{
    limit_silence(state, settings().handshake_timeout_);
    watch_client();
    auto failure = co_await exchange.send_head(std::move(head));
    if (!failure)
    {
        failure = co_await exchange.read_answer_head(
            true, state.call_.to_head_request_,
            [&]
            {
                limit_silence(state, settings().handshake_timeout_);
            });
    }
    if (failure)
    {
        lose_gate(state, exchange, failure.message(), end);
        co_return false;
    }
    co_return true;
}

asio::awaitable<bool> entry_session::dispatch(
    call_state& state,
    peer_exchange& exchange,
    std::string head,
    attempt_end& end)
{
    const bool chunked =
        !state.call_.idempotent_ || state.call_.framing_.chunked_;
    limit_silence(state, settings().silence_timeout_);
    end.not_run_ = false;
    end.arrived_ = true;
    unsent_ = false;
    ++state.attempts_;
    // After a failed write the gate may still have answered, but not if nothing
    // was sent, because the request's body is bad from the start or the
    // connection was lost before.
    const auto unsent = co_await exchange.send(std::move(head), chunked);
    if (exchange.nothing_sent())
    {
        end.not_run_ = true;
        end.arrived_ = false;
        --state.attempts_;
        lose_gate(
            state, exchange, "nothing was sent: " + unsent.message(), end);
        co_return false;
    }
    if (exchange.client_failure())
    {
        lose_gate(state, exchange, "nothing was sent", end);
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
            limit_silence(state, settings().silence_timeout_);
            if (state.body_.received())
            {
                watch_client();
            }
        });
    if (failure)
    {
        lose_gate(state, exchange, failure.message(), end);
    }
    co_return !failure;
}

asio::awaitable<void> entry_session::take_answer(
    call_state& state, peer_exchange& exchange, attempt_end& end)
{
    const response_head& head = exchange.answer().get();
    if (!answers_request(head, state.call_.request_id_))
    {
        lose_gate(state, exchange, "the answer is to another request", end);
        co_return;
    }
    end.report_ = make_call_report(head);
    const auto refusal = parse_refusal(head);
    if (refusal)
    {
        end.failure_ = {refusal->kind_, "refused by the gate"};
        end.not_run_ = refusal->not_run_;
        end.room_in_ = refusal->expected_wait_;
        const bool dispatched = end.arrived_;
        end.arrived_ = !refusal->not_run_ || refusal->by_upstream_;
        state.attempts_ -= dispatched && !end.arrived_ ? 1 : 0;
        decide(state, end);
    }
    else if (
        state.call_.idempotent_ && state.body_.received() &&
        http::to_status_class(head.result()) ==
            http::status_class::server_error)
    {
        end.failure_ = {
            error_kind::upstream_failed,
            fmt::format("upstream: status {}", head.result_int())};
        end.answered_by_upstream_ = true;
        decide(state, end);
    }
    // A refusal is answered in the entry's own words, so that it says when to
    // come back and claims nothing about the attempts before.
    if (refusal || end.decision_.retry())
    {
        co_await exchange.drop_answer();
        co_return;
    }
    co_await pass_answer(state, exchange, end);
}

asio::awaitable<void> entry_session::pass_answer(
    call_state& state, peer_exchange& exchange, attempt_end& end)
{
    auto& answer = exchange.answer();
    const auto refusal = parse_refusal(answer.get());
    const auto framing = answer_framing(
        answer, state.call_.to_head_request_, state.call_.version_);
    const bool keep = can_keep(state.request_) && exchange.request_sent();
    // A request that is passed on after this has no answer to come.
    may_read_ahead_ = may_read_ahead_ && keep;
    auto head = make_caller_response_head(
        answer.get(), framing, state.call_.request_id_, keep);
    begin_answer(state.call_.deadline_);
    follow_answer(exchange);
    const auto relayed = co_await exchange.relay_answer(
        std::move(head), framing.chunked_, settings().held_answer_limit_);
    if (relayed == relay_result::complete)
    {
        end.answered_ = true;
        end.keep_connection_ = keep;
        count_call(
            state, refusal ? error_properties_of(refusal->kind_).name_
                           : std::string_view{"ok"});
        co_return;
    }
    end.not_run_ = false;
    lose_gate(state, exchange, "the answer is not whole", end);
    if (stopped() == stop_reason::none)
    {
        end.failure_.kind_ = error_kind::upstream_failed;
    }
    if (exchange.answer_begun())
    {
        end.answered_ = true;
        count_call(state, "cut");
        log_end(state, end);
        log_cut(end.failure_.message_);
        client().reset();
    }
}

void entry_session::lose_gate(
    call_state& state,
    peer_exchange& exchange,
    const std::string& what,
    attempt_end& end)
{
    const bool late = now() >= state.call_.deadline_;
    const bool silent = stopped() == stop_reason::time_limit && !late;
    if (silent)
    {
        // Connections to one peer tend to go silent together.
        environment_.gate_connections_.close_idle(exchange.peer().peer());
    }
    const bool own_end = caller_is_gone() || stopped() == stop_reason::refused;
    end.report_.outcome_ =
        own_end ? call_outcome::cancelled : call_outcome::failed;
    end.failure_.message_ = fmt::format(
        "gate {}: {}", to_string(exchange.peer().peer()),
        stopped() == stop_reason::time_limit ? exchange.describe_silence()
                                             : what);
    end.failure_.kind_ = error_kind::outcome_unknown;
    if (end.not_run_)
    {
        end.failure_.kind_ =
            late ? error_kind::deadline_exceeded : error_kind::gate_unreachable;
    }
    const auto client_failure = exchange.client_failure();
    if (client_failure && client_failure != asio::error::operation_aborted)
    {
        end.failure_ = body_error(client_failure);
        end.report_.outcome_ = call_outcome::cancelled;
    }
    decide(state, end);
}

void entry_session::decide(call_state& state, attempt_end& end)
{
    failed_attempt attempt;
    attempt.kind_ = end.failure_.kind_;
    attempt.not_run_ = end.not_run_;
    attempt.idempotent_ = state.call_.idempotent_;
    attempt.body_replayable_ = state.body_.can_resend();
    attempt.may_have_arrived_ = end.arrived_;
    attempt.answered_by_upstream_ = end.answered_by_upstream_;
    attempt.attempts_ = state.attempts_;
    attempt.max_attempts_ = state.call_.route_->route_->max_attempts_;
    attempt.gates_asked_ = state.gates_asked_;
    attempt.deadline_ = state.call_.deadline_;
    end.decision_ =
        environment_.router_.decide_retry(*state.call_.route_, attempt, now());
    if (!end.decision_.retry())
    {
        environment_.metrics_.add(
            metric_id::retries_denied, to_string(end.decision_.reason_));
    }
}

void entry_session::limit_silence(
    const call_state& state, std::chrono::milliseconds longest)
{
    set_time_limit(std::min(state.call_.deadline_, now() + longest));
}

void entry_session::count_call(
    const call_state& state, std::string_view outcome)
{
    environment_.metrics_.add(metric_id::calls, outcome);
    environment_.metrics_.observe(
        metric_id::call_duration, to_string(state.call_.route_->route_->class_),
        std::chrono::duration<double>(now() - state.call_.started_).count());
}

void entry_session::abandon(const call_state& state)
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
    const call_state& state, const attempt_end& end, const vm_id& gate)
{
    log_request_event<log_event_id::call_retried>(
        log_fields::request_id(state.call_.request_id_),
        log_fields::route(state.call_.route_->key_), log_fields::peer(gate),
        log_fields::error_kind(end.failure_.kind_),
        log_fields::detail(end.failure_.message_),
        log_fields::not_run(end.not_run_),
        log_fields::attempts(state.attempts_),
        log_fields::gates_asked(state.gates_asked_),
        log_fields::time_left_ms(time_left(state)));
}

void entry_session::log_end(const call_state& state, const attempt_end& end)
{
    const auto write = [&]<log_event_id Event>()
    {
        log_request_event<Event>(
            log_fields::request_id(state.call_.request_id_),
            log_fields::route(state.call_.route_->key_),
            log_fields::revision(state.call_.snapshot_->number()),
            log_fields::error_kind(end.failure_.kind_),
            log_fields::detail(end.failure_.message_),
            log_fields::reason(to_string(end.decision_.reason_)),
            log_fields::attempts(state.attempts_),
            log_fields::gates_asked(state.gates_asked_),
            log_fields::elapsed_ms(elapsed(state)),
            log_fields::time_left_ms(time_left(state)));
    };
    if (end.not_run_)
    {
        write.operator()<log_event_id::call_refused>();
        return;
    }
    write.operator()<log_event_id::call_failed>();
}

void entry_session::log_cut(const std::string& detail) const
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
