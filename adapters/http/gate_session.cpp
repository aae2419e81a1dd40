#include "adapters/http/gate_session.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>
#include <sys/socket.h>

#include "adapters/http/headers.hpp"
#include "adapters/telemetry/event_log.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// An idle link of 7 Mbit/s transfers 60 kB in 70 ms. A body that takes several
// times as long was delayed by other bodies or by a lack of processor time.
constexpr std::chrono::milliseconds min_logged_body_delay{250};

constexpr std::string_view progress_answer = "HTTP/1.1 102 Processing\r\n\r\n";

/// The gate's decision about a queued call. Used on the session's thread only.
struct queue_decision
{
    bool decided_ = false;
    std::optional<refusal_reason> reason_;
};

std::string refusal_message(refusal_reason reason)
{
    return fmt::format("gate: refused ({})", to_string(reason));
}

std::optional<error> duplicate_error(idempotency_status verdict)
{
    switch (verdict)
    {
    case idempotency_status::run:
        return std::nullopt;
    case idempotency_status::running:
        return error{
            error_kind::duplicate_request,
            "gate: a request with this Idempotency-Key is running"};
    case idempotency_status::finished:
        return error{
            error_kind::duplicate_request,
            "gate: a request with this Idempotency-Key has already run"};
    case idempotency_status::full:
        break;
    }
    return error{error_kind::overloaded, "gate: no idempotency record is free"};
}

} // namespace

gate_session::gate_session(
    http_connection::socket_type socket, gate_environment& environment)
    : relay_session(
          std::move(socket),
          environment.settings_,
          environment.time_,
          environment.group_),
      environment_(environment),
      progress_timer_(client().socket().get_executor())
{}

asio::awaitable<bool> gate_session::serve(request_parser& request)
{
    auto read = read_gate_request(request, settings().protocol_, now());
    if (!read)
    {
        auto failure = std::move(read.error());
        co_return co_await refuse(request, std::move(failure));
    }
    set_time_limit(read->call_.deadline_);
    request_body body(
        client(), request, settings().relay_buffer_bytes_,
        settings().relay_buffer_bytes_);
    if (read->expects_continue_)
    {
        body.expect_continue();
    }
    call_state state{request, std::move(*read), std::move(body), now()};
    set_progress_reporting(true);
    unsent_ = true;
    const bool usable = co_await run(state);
    set_progress_reporting(false);
    co_return usable;
}

asio::awaitable<bool> gate_session::run(call_state& state)
{
    gate_call_id id;
    auto failed = co_await admit(state, id);
    if (failed)
    {
        co_return co_await fail(state, std::move(*failed));
    }
    const slot_lease slot(environment_.gate_, id);
    state.id_ = id;
    failed = co_await await_body(state);
    if (!failed)
    {
        failed = begin_request(state);
    }
    if (failed)
    {
        co_return co_await fail(state, std::move(*failed));
    }
    const bool keep = co_await call_upstream(state, failed);
    if (failed)
    {
        co_return co_await fail(state, std::move(*failed));
    }
    co_return keep;
}

asio::awaitable<std::optional<gate_session::call_failure>>
gate_session::admit(call_state& state, gate_call_id& id)
{
    const auto pending = std::make_shared<queue_decision>();
    const auto self =
        std::static_pointer_cast<gate_session>(shared_from_this());
    const auto answer = environment_.gate_.offer(
        state.request_.call_,
        [self, pending](std::optional<refusal_reason> reason)
        {
            asio::post(
                self->client().socket().get_executor(),
                [self, pending, reason]
                {
                    *pending = {true, reason};
                    self->wake();
                });
        });
    id = answer.id_;
    if (answer.admission_ == admission::refused)
    {
        co_return call_failure{
            {refusal_kind(answer.reason_), refusal_message(answer.reason_)},
            true,
            answer.expected_wait_};
    }
    if (answer.admission_ == admission::admitted)
    {
        co_return std::nullopt;
    }
    watch_client();
    while (!pending->decided_ && stopped() == stop_reason::none)
    {
        co_await wait_until(steady_time::max());
    }
    if (!pending->decided_)
    {
        environment_.gate_.withdraw(id);
        co_return call_failure{
            {error_kind::deadline_exceeded,
             "gate: the deadline passed while the call was queued"}};
    }
    if (pending->reason_)
    {
        co_return call_failure{
            {refusal_kind(*pending->reason_),
             refusal_message(*pending->reason_)}};
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<gate_session::call_failure>>
gate_session::await_body(call_state& state)
{
    if (state.request_.expects_continue_)
    {
        set_progress_reporting(false);
        state.body_awaited_at_ = now();
        set_time_limit(std::min(
            state.request_.call_.deadline_,
            now() + settings().first_byte_timeout_));
        const auto failure = co_await state.body_.await_first_piece();
        if (failure)
        {
            co_return call_failure{
                {error_kind::deadline_exceeded,
                 "gate: no body after the 100 Continue: " + failure.message()}};
        }
        set_time_limit(state.request_.call_.deadline_);
        set_progress_reporting(true);
    }
    if (is_past_deadline(state))
    {
        co_return call_failure{
            {error_kind::deadline_exceeded, "gate: the deadline has passed"}};
    }
    // The entry may have closed the connection while this process was paused;
    // the body can still be unread in the socket. Don't run its request.
    if (client().peer_has_closed())
    {
        stop(stop_reason::client_gone);
        co_return call_failure{
            {error_kind::deadline_exceeded,
             "gate: the entry closed the connection"}};
    }
    co_return std::nullopt;
}

void gate_session::report_body_part(call_state& state, std::uint64_t bytes)
{
    const auto part = bytes - state.reported_body_bytes_;
    if (!state.request_.call_.awaits_body_ || part < body_progress_step)
    {
        return;
    }
    state.reported_body_bytes_ = bytes;
    environment_.gate_.receive_part(state.id_, byte_count{part});
}

void gate_session::report_body_end(const call_state& state, byte_count bytes)
{
    if (!reports_body_arrival(state.request_.call_))
    {
        return;
    }
    const auto bodies = environment_.gate_.receive_body(state.id_, bytes);
    const auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(
        now() - state.body_awaited_at_);
    if (!has_long_body(state.request_.call_) || taken < min_logged_body_delay)
    {
        return;
    }
    log_request_event<log_event_id::body_delayed>(
        log_fields::request_id(state.request_.request_id_),
        log_fields::peer(state.request_.call_.entry_vm_),
        log_fields::bytes(bytes.value()), log_fields::bodies(bodies),
        log_fields::elapsed_ms(taken));
}

std::optional<gate_session::call_failure>
gate_session::begin_request(const call_state& state)
{
    const auto& id = state.request_.idempotency_;
    if (!id)
    {
        return std::nullopt;
    }
    auto failure = duplicate_error(
        environment_.gate_.begin_request(state.request_.call_.account_, *id));
    if (!failure)
    {
        return std::nullopt;
    }
    return call_failure{std::move(*failure)};
}

void gate_session::end_request(const call_state& state, bool not_run)
{
    const auto& id = state.request_.idempotency_;
    if (id && not_run)
    {
        environment_.gate_.abandon_request(*id);
    }
    else if (id)
    {
        environment_.gate_.finish_request(*id);
    }
}

asio::awaitable<bool> gate_session::call_upstream(
    call_state& state, std::optional<call_failure>& failed)
{
    auto lease = co_await take_connection(state);
    if (!lease)
    {
        failed = call_failure{std::move(lease.error())};
        end_request(state, true);
        co_return false;
    }
    peer_exchange exchange(
        client(), state.body_, std::move(*lease), settings());
    set_exchange(&exchange);
    attempt_outcome outcome;
    co_await exchange_with_upstream(state, exchange, outcome);
    co_await exchange.close_request();
    set_exchange(nullptr);
    exchange.finish(now());
    end_request(state, outcome.not_run_);
    failed = std::move(outcome.failure_);
    co_return outcome.keep_connection_;
}

asio::awaitable<result<connection_lease>>
gate_session::take_connection(call_state& state)
{
    while (stopped() == stop_reason::none && !is_past_deadline(state))
    {
        auto offer = environment_.gate_.take_connection(
            state.request_.call_.service_, client().socket().get_executor());
        if (!offer)
        {
            co_return tl::unexpected<error>(std::move(offer.error()));
        }
        if (offer->lease_ &&
            offer->lease_->connection().has_refused(state.request_.request_id_))
        {
            offer->lease_->discard();
            continue;
        }
        if (offer->lease_)
        {
            co_return std::move(*offer->lease_);
        }
        co_await wait_until(offer->retry_at_);
    }
    co_return make_error(
        error_kind::deadline_exceeded,
        "gate: no connection to the upstream before the deadline");
}

asio::awaitable<void> gate_session::exchange_with_upstream(
    call_state& state, peer_exchange& exchange, attempt_outcome& outcome)
{
    set_time_limit(std::min(
        state.request_.call_.deadline_, now() + settings().connect_timeout_));
    const auto connected =
        co_await exchange.connect(environment_.source_address_);
    if (!connected || is_past_deadline(state) || stopped() != stop_reason::none)
    {
        outcome.failure_ = call_failure{
            {connected ? error_kind::deadline_exceeded
                       : error_kind::no_upstream,
             connected ? "gate: the deadline has passed"
                       : connected.error().message_}};
        outcome.not_run_ = true;
        co_return;
    }
    environment_.metrics_.add(
        metric_id::gate_admissions, to_string(state.request_.call_.class_));
    set_time_limit(state.request_.call_.deadline_);
    exchange.set_body_length(state.request_.framing_.length_);
    exchange.on_request_write(
        [this, &state](std::uint64_t body_sent, bool whole)
        {
            if (whole)
            {
                report_body_end(state, byte_count{body_sent});
            }
            else
            {
                report_body_part(state, body_sent);
            }
        });
    auto head = make_upstream_request_head(
        state.request_, settings().protocol_, environment_.gate_.instance(),
        state.request_.call_.deadline_ - now());
    unsent_ = false;
    // The upstream may have answered although a write failed, so the answer is
    // read. If the body is malformed from its start, nothing was sent.
    co_await exchange.send(std::move(head), state.request_.framing_.chunked_);
    if (exchange.client_failure())
    {
        outcome.failure_ = call_failure{
            {error_kind::bad_request, "gate: invalid request body: " +
                                          exchange.client_failure().message()}};
        outcome.not_run_ = true;
        co_return;
    }
    if (state.body_.received())
    {
        watch_client();
    }
    const auto failure = co_await exchange.read_answer_head(
        false, state.request_.to_head_request_);
    set_progress_reporting(false);
    if (failure)
    {
        outcome.failure_ = upstream_failure(exchange, failure.message());
        co_return;
    }
    co_await forward_answer(state, exchange, outcome);
}

asio::awaitable<void> gate_session::forward_answer(
    call_state& state, peer_exchange& exchange, attempt_outcome& outcome)
{
    auto& answer = exchange.answer();
    const auto& protocol = settings().protocol_;
    const auto echoed = field_value(answer.get(), protocol.request_id_.c_str());
    if (!echoed.empty() && echoed != state.request_.request_id_)
    {
        outcome.failure_ =
            upstream_failure(exchange, "the answer belongs to another request");
        co_return;
    }
    const bool declared_not_run =
        !protocol.not_run_.empty() && answer.get().count(protocol.not_run_) > 0;
    if (declared_not_run && echoed.empty())
    {
        outcome.failure_ =
            upstream_failure(exchange, "the refusal does not name the request");
        co_return;
    }
    outcome.not_run_ =
        declared_not_run ||
        answer.get().result() == http::status::misdirected_request ||
        (answer.get().result() == http::status::service_unavailable &&
         environment_.shed_is_not_run_(state.request_.pool_));
    if (outcome.not_run_)
    {
        exchange.peer().connection().record_refusal(state.request_.request_id_);
        log_upstream_failure(
            state, error_kind::overloaded,
            fmt::format("upstream: status {}", answer.get().result_int()),
            true);
    }
    const bool success = http::to_status_class(answer.get().result_int()) ==
                         http::status_class::successful;
    if (success && !protocol.signature_.empty() &&
        answer.get().count(protocol.signature_) == 0)
    {
        outcome.failure_ = upstream_failure(
            exchange, "the successful answer has no signature");
        co_return;
    }
    const auto framing = answer_framing(
        answer, state.request_.to_head_request_, state.request_.version_);
    outcome.keep_connection_ =
        can_keep(state.parser_) && exchange.request_sent();
    auto head = answer_head(state, answer.get(), framing, outcome);
    begin_answer(state.request_.call_.deadline_);
    exchange.on_answer_write(
        [this](bool begins)
        {
            on_answer_write(begins);
        });
    const auto relayed =
        co_await exchange.relay_answer(std::move(head), framing.chunked_);
    if (relayed == relay_result::complete)
    {
        co_return;
    }
    outcome.keep_connection_ = false;
    if (exchange.answer_begun())
    {
        client().reset();
        co_return;
    }
    outcome.not_run_ = false;
    outcome.failure_ = upstream_failure(exchange, "the answer is incomplete");
}

asio::awaitable<bool>
gate_session::fail(call_state& state, call_failure failure)
{
    set_progress_reporting(false);
    if (stopped() == stop_reason::refused)
    {
        failure =
            call_failure{{error_kind::draining, "gate: the node is stopping"}};
    }
    unsent_ = false;
    log_failure(state, failure);
    if (stopped() == stop_reason::client_gone)
    {
        co_return false;
    }
    environment_.metrics_.add(
        metric_id::refusals, error_properties_of(failure.error_.kind_).name_);
    auto fields = gate_fields(state);
    if (failure.expected_wait_.count() > 0)
    {
        append_field(
            fields, headers::room_in_ms,
            static_cast<std::uint64_t>(
                std::chrono::ceil<std::chrono::milliseconds>(
                    failure.expected_wait_)
                    .count()));
    }
    const auto claim =
        failure.not_run_ ? not_run_claim::by_kind : not_run_claim::never;
    co_return co_await refuse(
        state.parser_, std::move(failure.error_), claim, fields);
}

void gate_session::log_failure(
    const call_state& state, const call_failure& failure) const
{
    const auto& call = state.request_.call_;
    if (failure.not_run_)
    {
        log_request_event<log_event_id::gate_refused>(
            log_fields::request_id(state.request_.request_id_),
            log_fields::peer(call.entry_vm_),
            log_fields::error_kind(failure.error_.kind_),
            log_fields::detail(failure.error_.message_),
            log_fields::free_slots(environment_.gate_.free_slots()),
            log_fields::time_left_ms(
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    call.deadline_ - now())));
        return;
    }
    log_upstream_failure(
        state, failure.error_.kind_, failure.error_.message_, false);
}

void gate_session::log_upstream_failure(
    const call_state& state,
    error_kind kind,
    const std::string& detail,
    bool not_run) const
{
    log_request_event<log_event_id::upstream_call_failed>(
        log_fields::request_id(state.request_.request_id_),
        log_fields::peer(state.request_.call_.entry_vm_),
        log_fields::instance(environment_.gate_.instance()),
        log_fields::error_kind(kind), log_fields::detail(detail),
        log_fields::not_run(not_run),
        log_fields::elapsed_ms(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now() - state.arrived_at_)));
}

gate_session::call_failure gate_session::upstream_failure(
    const peer_exchange& exchange, const std::string& what) const
{
    const bool out_of_time = stopped() == stop_reason::time_limit;
    return {
        {out_of_time ? error_kind::outcome_unknown
                     : error_kind::upstream_failed,
         fmt::format(
             "upstream {}: {}", to_string(exchange.peer().peer()),
             out_of_time ? "no answer before the deadline" : what)},
        false};
}

std::string gate_session::answer_head(
    const call_state& state,
    response_head& head,
    const body_framing& framing,
    const attempt_outcome& outcome) const
{
    remove_connection_headers(head);
    remove_node_headers(head, false);
    std::string text;
    append_head(text, head);
    if (outcome.not_run_)
    {
        append_field(
            text, headers::error,
            error_properties_of(error_kind::overloaded).name_);
        append_field(text, headers::not_run, "true");
        append_field(text, headers::refused_by_upstream, "true");
    }
    text.append(gate_fields(state));
    append_framing(text, framing);
    if (!outcome.keep_connection_)
    {
        append_field(text, "Connection", "close");
    }
    text.append("\r\n");
    return text;
}

std::string gate_session::gate_fields(const call_state& state) const
{
    std::string fields;
    append_field(fields, headers::request_id, state.request_.request_id_);
    append_field(
        fields, headers::free_slots,
        std::uint64_t{environment_.gate_.free_slots()});
    return fields;
}

bool gate_session::is_past_deadline(const call_state& state) const
{
    return now() >= state.request_.call_.deadline_;
}

void gate_session::set_progress_reporting(bool on)
{
    progress_reporting_ = on;
    progress_reporting_since_ = now();
    if (on && !progress_timer_armed_)
    {
        arm_progress_timer();
    }
}

void gate_session::arm_progress_timer()
{
    progress_timer_armed_ = true;
    progress_timer_.expires_after(settings().progress_interval_);
    const std::weak_ptr<relay_session> weak = weak_from_this();
    progress_timer_.async_wait(
        [this, weak](const error_code& failure)
        {
            const auto self = weak.lock();
            if (self && !failure)
            {
                send_progress();
            }
        });
}

void gate_session::send_progress()
{
    progress_timer_armed_ = false;
    if (!progress_reporting_)
    {
        return;
    }
    arm_progress_timer();
    if (now() - progress_reporting_since_ < settings().progress_interval_ / 2)
    {
        return;
    }
    const auto sent = ::send(
        client().socket().native_handle(), progress_answer.data(),
        progress_answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(progress_answer.size()))
    {
        stop(stop_reason::client_gone);
    }
}

} // namespace hemlockshelf
