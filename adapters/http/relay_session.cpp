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

// Limits of what is read and dropped before a close, so that the client gets
// the answer instead of a reset.
constexpr std::chrono::milliseconds close_timeout{500};
constexpr std::size_t close_drop_bytes = std::size_t{256} * 1024;

// A write that takes this long has waited for the client.
constexpr std::chrono::milliseconds slow_write{1};

// The peer's next bytes have been held up by a client that was waited for; they
// come within this time if the peer has them.
constexpr std::chrono::milliseconds next_piece_timeout{250};

// Extension of a time limit for an answer that waits to be read. A loop that is
// short of processor time may find both at once and take up the limit first; it
// reads the answer in its next turn.
constexpr std::chrono::milliseconds waiting_answer_time{20};

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

// The answer to a HEAD request has no body; its caller would take one for the
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
            const bool idle = !self->in_call_ && !self->has_ahead() &&
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
    // No answer is on its way on a connection that carried no request.
    if (stop_ != stop_reason::client_gone && stop_ != stop_reason::node_stops &&
        stop_ != stop_reason::drained)
    {
        co_await close_gently();
    }
}

asio::awaitable<bool> relay_session::serve_next()
{
    if (has_ahead())
    {
        group_.begin_call();
        in_call_ = true;
        const bool whole = co_await answer_ahead();
        in_call_ = false;
        group_.end_call();
        co_return whole&& stop_ != stop_reason::node_stops;
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
        // The request had been read when the end was decided.
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
    extended_ = false;
    move_limit(when);
}

void relay_session::move_limit(steady_time when)
{
    limit_ = when;
    if (!timer_armed_ || armed_until_ > when)
    {
        arm_timer(when);
    }
}

void relay_session::begin_answer(steady_time deadline)
{
    answer_due_ = deadline;
    answer_limit_ = std::max(deadline, now()) + settings_.answer_timeout_;
    set_time_limit(deadline);
}

void relay_session::on_answer_write(bool begins)
{
    if (begins)
    {
        write_began_ = now();
        move_limit(answer_limit_);
        return;
    }
    const auto written_at = now();
    const auto taken = written_at - write_began_;
    answer_due_ += taken;
    if (taken >= slow_write)
    {
        answer_due_ = std::max(answer_due_, written_at + next_piece_timeout);
    }
    answer_due_ = std::min(answer_due_, answer_limit_);
    move_limit(answer_due_);
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
    if (watching_)
    {
        return;
    }
    watching_ = true;
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

bool relay_session::stays_open() const
{
    return !group_.draining() || has_ahead();
}

bool relay_session::can_keep(const request_parser& request) const
{
    return request.is_done() && wants_keep_alive(request) && stays_open();
}

asio::awaitable<void> relay_session::close_gently()
{
    error_code ignored;
    resume();
    set_time_limit(now() + close_timeout);
    client_.socket().shutdown(asio::socket_base::shutdown_send, ignored);
    std::size_t dropped = client_.buffer().size();
    error_code failure;
    while (!failure && dropped < close_drop_bytes)
    {
        client_.buffer().clear();
        failure = co_await client_.fill();
        dropped += client_.buffer().size();
    }
}

void relay_session::arm_timer(steady_time when)
{
    timer_armed_ = true;
    armed_until_ = when;
    timer_.expires_at(when);
    timer_.async_wait(
        [weak = weak_from_this()](const error_code& failure)
        {
            const auto self = weak.lock();
            if (self && !failure)
            {
                self->check_time();
            }
        });
}

void relay_session::check_time()
{
    timer_armed_ = false;
    if (now() < limit_)
    {
        arm_timer(limit_);
        return;
    }
    if (!extended_ && exchange_ != nullptr && exchange_->answer_waits())
    {
        extended_ = true;
        limit_ = now() + waiting_answer_time;
        answer_due_ = std::max(answer_due_, limit_);
        arm_timer(limit_);
        return;
    }
    stop(stop_reason::time_limit);
}

void relay_session::check_client(bool readable)
{
    watching_ = false;
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
    if (look == connection_readiness::idle || read_ahead())
    {
        watch_client();
    }
}

} // namespace hemlockshelf
