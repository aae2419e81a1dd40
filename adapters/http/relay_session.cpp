#include "adapters/http/relay_session.hpp"

#include <algorithm>
#include <chrono>
#include <exception>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/verb.hpp>

#include "adapters/http/peer_exchange.hpp"
#include "adapters/http/refusal.hpp"
#include "adapters/telemetry/event_log.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Limits for reading and discarding input before a connection is closed. The
// input is read so that the client receives the answer instead of a reset.
constexpr std::chrono::milliseconds lingering_close_timeout{500};
constexpr std::size_t lingering_close_bytes = std::size_t{256} * 1024;

// A write that takes at least this long is assumed to have waited for the
// client.
constexpr std::chrono::milliseconds slow_write_threshold{1};

// Time that the peer gets for its next bytes after the relay has waited for the
// client, because the peer could not send them meanwhile.
constexpr std::chrono::milliseconds next_piece_timeout{250};

// Extension of a time limit while an answer is still unread. An event loop that
// is short of processor time may find the expired limit and the answer at once
// and handle the limit first; it reads the answer in its next iteration.
constexpr std::chrono::milliseconds unread_answer_extension{20};

std::string describe(const std::exception_ptr& failure)
{
    try
    {
        std::rethrow_exception(failure);
    }
    catch (const std::exception& thrown)
    {
        return thrown.what();
    }
    catch (...)
    {
        return "not a std::exception";
    }
}

error framing_error(const error_code& failure)
{
    if (failure == http::error::header_limit)
    {
        return {error_kind::header_too_large, "header: longer than the limit"};
    }
    if (failure == http::error::body_limit)
    {
        return {error_kind::body_too_large, "body: longer than the limit"};
    }
    return {error_kind::bad_request, "request: " + failure.message()};
}

bool is_framing_error(const error_code& failure)
{
    return failure.category() ==
               make_error_code(http::error::bad_method).category() &&
           failure != http::error::end_of_stream &&
           failure != http::error::partial_message;
}

// The answer to a HEAD request has no body; the caller would read one as the
// start of the next answer.
void remove_body(std::string& message)
{
    constexpr std::string_view end_of_head = "\r\n\r\n";
    message.resize(message.find(end_of_head) + end_of_head.size());
}

} // namespace

std::string_view to_string(stop_reason value)
{
    switch (value)
    {
    case stop_reason::none:
        return "none";
    case stop_reason::time_limit:
        return "time_limit";
    case stop_reason::client_gone:
        return "client_gone";
    case stop_reason::node_stops:
        return "node_stops";
    case stop_reason::drained:
        return "drained";
    case stop_reason::refused:
        return "refused";
    }
    return "unknown";
}

relay_session::relay_session(
    http_connection::socket_type socket,
    const call_settings& settings,
    const clock& time,
    session_group& group)
    : client_(std::move(socket), settings.max_header_bytes_),
      settings_(settings), time_(time), group_(group),
      timer_(client_.socket().get_executor()),
      wake_(client_.socket().get_executor())
{}

relay_session::~relay_session()
{
    group_.remove(this);
}

bool relay_session::start(const std::shared_ptr<relay_session>& session)
{
    if (!session->group_.add(
            session, session->settings_.max_client_connections_))
    {
        return false;
    }
    error_code ignored;
    session->client_.socket().set_option(
        asio::ip::tcp::no_delay(true), ignored);
    asio::co_spawn(
        session->client_.socket().get_executor(), session->run(),
        [session](const std::exception_ptr& failure)
        {
            if (failure)
            {
                log_event<log_event_id::call_connection_failed>(
                    log_fields::detail(describe(failure)));
            }
            session->client_.close();
            session->timer_.cancel();
        });
    return true;
}

void relay_session::close_now()
{
    asio::post(
        client_.socket().get_executor(),
        [self = shared_from_this()]
        {
            self->stop(stop_reason::node_stops);
            if (self->in_call_)
            {
                log_request_event<log_event_id::caller_cut>(
                    log_fields::reason(to_string(stop_reason::node_stops)),
                    log_fields::requests_behind(0),
                    log_fields::detail("the node stops during a request"));
            }
            self->client_.close();
        });
}

void relay_session::close_if_idle()
{
    asio::post(
        client_.socket().get_executor(),
        [self = shared_from_this()]
        {
            const bool idle = !self->in_call_ && !self->has_pipelined() &&
                              self->stop_ == stop_reason::none;
            if (idle && self->client_.probe() != connection_readiness::readable)
            {
                self->stop(stop_reason::drained);
            }
        });
}

void relay_session::refuse_unforwarded()
{
    asio::post(
        client_.socket().get_executor(),
        [self = shared_from_this()]
        {
            if (self->in_call_ && self->nothing_forwarded())
            {
                self->stop(stop_reason::refused);
            }
        });
}

asio::awaitable<void> relay_session::run()
{
    bool usable = true;
    while (usable)
    {
        resume();
        usable = co_await serve_next();
    }
    // The lingering close lets the client receive the last answer. A drained
    // connection carried no request, so that no answer is on its way.
    if (stop_ != stop_reason::client_gone && stop_ != stop_reason::node_stops &&
        stop_ != stop_reason::drained)
    {
        co_await lingering_close();
    }
}

asio::awaitable<bool> relay_session::serve_next()
{
    if (has_pipelined())
    {
        group_.begin_call();
        in_call_ = true;
        const bool complete = co_await answer_pipelined();
        in_call_ = false;
        group_.end_call();
        co_return complete&& stop_ != stop_reason::node_stops;
    }
    if (group_.has_end() && client_.probe() != connection_readiness::readable)
    {
        // The connection was accepted while the idle ones were being closed.
        stop(stop_reason::drained);
        co_return false;
    }
    request_parser request;
    request.header_limit(settings_.max_header_bytes_);
    request.body_limit(settings_.max_body_bytes_);
    set_time_limit(now() + settings_.idle_timeout_);
    const auto failure = co_await read_head(client_, request);
    if (is_framing_error(failure))
    {
        auto refusal = framing_error(failure);
        co_await refuse(request, std::move(refusal));
    }
    if (failure)
    {
        co_return false;
    }
    if (stop_ == stop_reason::drained)
    {
        // The request had already been read when the drain ended the session.
        resume();
    }
    group_.begin_call();
    in_call_ = true;
    const bool usable = co_await serve(request);
    in_call_ = false;
    group_.end_call();
    co_return usable&& stop_ != stop_reason::node_stops;
}

asio::awaitable<bool> relay_session::refuse(
    const request_parser& request,
    error failure,
    not_run_claim claim,
    std::string_view extra_fields)
{
    const bool keep = can_keep(request);
    auto text = refusal_text(
        failure, claim == not_run_claim::by_kind, keep, extra_fields);
    const bool to_head_request =
        request.is_header_done() && request.get().method() == http::verb::head;
    const bool sent = co_await write_refusal(std::move(text), to_head_request);
    co_return keep&& sent;
}

asio::awaitable<bool>
relay_session::write_refusal(std::string text, bool to_head_request)
{
    if (to_head_request)
    {
        remove_body(text);
    }
    resume();
    set_time_limit(now() + settings_.refusal_timeout_);
    const auto failure = co_await client_.write(asio::buffer(text));
    co_return !failure;
}

void relay_session::set_time_limit(steady_time when)
{
    set_time_limit(when, when);
}

void relay_session::set_time_limit(steady_time when, steady_time while_draining)
{
    limit_extended_ = false;
    draining_limit_ = while_draining;
    move_time_limit(when);
}

void relay_session::move_time_limit(steady_time when)
{
    limit_ = when;
    if (!timer_armed_ || timer_expiry_ > when)
    {
        arm_timer(when);
    }
}

void relay_session::begin_answer(steady_time deadline)
{
    answer_deadline_ = deadline;
    answer_limit_ = std::max(deadline, now()) + settings_.answer_timeout_;
    set_time_limit(deadline);
}

void relay_session::on_answer_write(bool begins)
{
    if (begins)
    {
        write_began_ = now();
        move_time_limit(answer_limit_);
        return;
    }
    const auto written_at = now();
    const auto write_time = written_at - write_began_;
    answer_deadline_ += write_time;
    if (write_time >= slow_write_threshold)
    {
        answer_deadline_ =
            std::max(answer_deadline_, written_at + next_piece_timeout);
    }
    answer_deadline_ = std::min(answer_deadline_, answer_limit_);
    move_time_limit(answer_deadline_);
}

asio::awaitable<void> relay_session::wait_until(steady_time until)
{
    if (stop_ != stop_reason::none)
    {
        co_return;
    }
    error_code ignored;
    wake_.expires_at(until);
    co_await wake_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

void relay_session::wake()
{
    wake_.cancel();
}

void relay_session::watch_client()
{
    if (watching_client_)
    {
        return;
    }
    watching_client_ = true;
    client_.socket().async_wait(
        asio::socket_base::wait_read,
        [weak = weak_from_this()](const error_code& failure)
        {
            if (const auto self = weak.lock())
            {
                self->check_client(!failure);
            }
        });
}

void relay_session::resume()
{
    if (stop_ != stop_reason::node_stops)
    {
        stop_ = stop_reason::none;
        client_.resume();
    }
}

void relay_session::stop(stop_reason reason)
{
    if (stop_ == stop_reason::none)
    {
        stop_ = reason;
    }
    client_.interrupt();
    wake();
    if (exchange_ != nullptr)
    {
        exchange_->interrupt();
    }
}

bool relay_session::may_stay_open() const
{
    return !group_.draining() || has_pipelined();
}

bool relay_session::can_keep(const request_parser& request) const
{
    return request.is_done() && wants_keep_alive(request) && may_stay_open();
}

asio::awaitable<void> relay_session::lingering_close()
{
    error_code ignored;
    resume();
    set_time_limit(now() + lingering_close_timeout);
    client_.socket().shutdown(asio::socket_base::shutdown_send, ignored);
    std::size_t dropped = client_.buffer().size();
    error_code failure;
    while (!failure && dropped < lingering_close_bytes)
    {
        client_.buffer().clear();
        failure = co_await client_.fill();
        dropped += client_.buffer().size();
    }
}

void relay_session::arm_timer(steady_time when)
{
    timer_armed_ = true;
    timer_expiry_ = when;
    timer_.expires_at(when);
    timer_.async_wait(
        [weak = weak_from_this()](const error_code& failure)
        {
            const auto self = weak.lock();
            if (self && !failure)
            {
                self->check_time_limit();
            }
        });
}

void relay_session::check_time_limit()
{
    timer_armed_ = false;
    if (now() < limit_)
    {
        arm_timer(limit_);
        return;
    }
    if (group_.draining() && now() < draining_limit_)
    {
        limit_ = draining_limit_;
        arm_timer(limit_);
        return;
    }
    if (!limit_extended_ && exchange_ != nullptr &&
        exchange_->has_unread_answer())
    {
        limit_extended_ = true;
        limit_ = now() + unread_answer_extension;
        answer_deadline_ = std::max(answer_deadline_, limit_);
        arm_timer(limit_);
        return;
    }
    stop(stop_reason::time_limit);
}

void relay_session::check_client(bool readable)
{
    watching_client_ = false;
    if (!readable || !in_call_)
    {
        return;
    }
    const auto look = client_.probe_socket();
    if (look == connection_readiness::closed)
    {
        stop(stop_reason::client_gone);
        return;
    }
    if (look == connection_readiness::idle || read_pipelined())
    {
        watch_client();
    }
}

} // namespace hemlockshelf
