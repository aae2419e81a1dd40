#include "adapters/http/peer_exchange.hpp"

#include <charconv>
#include <exception>
#include <memory>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

namespace hemlockshelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Limits the interim answers that a peer can send without a final one.
constexpr unsigned max_interim_answers = 1000;
constexpr std::string_view line_end = "\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";
constexpr std::string_view line_end_and_last_chunk = "\r\n0\r\n\r\n";

asio::const_buffer to_buffer(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Writes the size line of a chunk into `line`.
std::string_view size_line(std::array<char, 24>& line, std::size_t size)
{
    constexpr int hexadecimal = 16;
    auto* end = std::to_chars(
                    line.data(), line.data() + line.size() - line_end.size(),
                    size, hexadecimal)
                    .ptr;
    *end++ = '\r';
    *end++ = '\n';
    return {line.data(), static_cast<std::size_t>(end - line.data())};
}

struct chunk_frame
{
    std::string_view before_;
    std::string_view after_;
};

/// Returns the chunk framing before and after a piece of a body.
chunk_frame frame_piece(
    std::array<char, 24>& line, std::size_t size, bool chunked, bool last)
{
    if (!chunked)
    {
        return {};
    }
    if (size == 0)
    {
        return {{}, last ? last_chunk : std::string_view{}};
    }
    return {size_line(line, size), last ? line_end_and_last_chunk : line_end};
}

} // namespace

peer_exchange::peer_exchange(
    http_connection& client,
    request_body& body,
    connection_lease peer,
    const call_settings& settings)
    : client_(client), body_(body), peer_(std::move(peer)), settings_(settings),
      sending_ended_(client_.socket().get_executor())
{}

asio::awaitable<result<void>> peer_exchange::connect(const std::string& source)
{
    if (peer_.reused())
    {
        connected_ = true;
        co_return result<void>{};
    }
    auto connected = co_await peer_.connect(source);
    connected_ = connected.has_value();
    co_return connected;
}

asio::awaitable<error_code> peer_exchange::send_head(std::string head)
{
    co_return co_await peer_.connection().write(to_buffer(head));
}

asio::awaitable<error_code> peer_exchange::send(std::string head, bool chunked)
{
    chunked_ = chunked;
    const auto piece = body_.next_buffered(client_failure_);
    if (client_failure_)
    {
        co_return client_failure_;
    }
    const auto written = peer_.connection().written_bytes();
    const auto failure = co_await write_piece(head, piece);
    nothing_sent_ = failure && peer_.connection().written_bytes() == written;
    if (!failure && !request_sent_)
    {
        start_sending_body();
    }
    co_return failure;
}

asio::awaitable<error_code>
peer_exchange::write_piece(std::string_view head, std::span<const char> piece)
{
    const bool last = body_.finished();
    const auto frame = frame_piece(request_line_, piece.size(), chunked_, last);
    body_released_ = body_released_ || !piece.empty() || last;
    const auto failure = co_await peer_.connection().write(
        to_buffer(head), to_buffer(frame.before_),
        asio::const_buffer(piece.data(), piece.size()),
        to_buffer(frame.after_));
    body_sent_ += failure ? 0 : piece.size();
    request_sent_ = last && !failure;
    if (!failure && on_request_write_)
    {
        on_request_write_(body_sent_, last);
    }
    co_return failure;
}

void peer_exchange::start_sending_body()
{
    sending_body_ = true;
    sending_ended_.expires_at(asio::steady_timer::time_point::max());
    asio::co_spawn(
        client_.socket().get_executor(), send_remaining_body(),
        [this](const std::exception_ptr& failure)
        {
            if (failure)
            {
                interrupt();
            }
            sending_body_ = false;
            sending_ended_.cancel();
        });
}

asio::awaitable<void> peer_exchange::send_remaining_body()
{
    // Body bytes that are already available are read without suspending. The
    // post lets `send` return first, so that an error in a later part of the
    // body is not taken for one at its beginning.
    co_await asio::post(client_.socket().get_executor(), asio::use_awaitable);
    while (!closing_ && !request_sent_)
    {
        const auto piece = co_await body_.next(client_failure_);
        if (client_failure_)
        {
            // The rest of the request will not arrive. An answer to the
            // incomplete request must not be taken for one to the complete
            // request.
            interrupt();
            co_return;
        }
        const auto failure = co_await write_piece({}, piece);
        if (failure)
        {
            // The peer may have answered before it closed the connection.
            co_return;
        }
    }
}

asio::awaitable<error_code> peer_exchange::read_answer_head(
    bool until_continue,
    bool to_head_request,
    const std::function<void()>& on_interim)
{
    for (unsigned interim = 0; interim < max_interim_answers; ++interim)
    {
        answer_.emplace();
        answer_->header_limit(settings_.max_header_bytes_);
        answer_->body_limit(boost::none);
        answer_->skip(to_head_request);
        const auto failure = co_await read_head(peer_.connection(), *answer_);
        if (failure)
        {
            co_return failure;
        }
        const auto status = answer_->get().result();
        // The class is taken from the number: `result` is `unknown` for each
        // status that is not registered.
        const auto status_class =
            http::to_status_class(answer_->get().result_int());
        if (status_class == http::status_class::unknown ||
            status == http::status::switching_protocols ||
            !check_transfer_coding(answer_->get()))
        {
            co_return http::error::bad_status;
        }
        if (status_class != http::status_class::informational ||
            (until_continue && status == http::status::continue_))
        {
            co_return error_code{};
        }
        if (on_interim)
        {
            on_interim();
        }
    }
    co_return http::error::bad_status;
}

bool peer_exchange::may_hold(std::size_t hold_bytes) const
{
    const auto length = answer_->content_length();
    return !answer_->is_done() && hold_bytes > 0 &&
           (!length || *length <= hold_bytes);
}

asio::awaitable<error_code> peer_exchange::hold_answer(
    std::string& held, std::span<char> space, std::size_t hold_bytes)
{
    error_code failure;
    while (!failure && !answer_->is_done() && held.size() <= hold_bytes)
    {
        const auto count =
            co_await read_body(peer_.connection(), *answer_, space, failure);
        held.append(space.data(), count);
    }
    co_return failure;
}

asio::awaitable<relay_result> peer_exchange::relay_answer(
    std::string head, bool chunked, std::size_t hold_bytes)
{
    const auto memory =
        std::make_unique_for_overwrite<char[]>(settings_.relay_buffer_bytes_);
    const std::span<char> space(memory.get(), settings_.relay_buffer_bytes_);
    std::string_view start = head;
    error_code failure;
    std::span<const char> piece =
        space.first(parse_body(peer_.connection(), *answer_, space, failure));
    std::string held;
    if (!failure && may_hold(hold_bytes))
    {
        held.assign(piece.data(), piece.size());
        failure = co_await hold_answer(held, space, hold_bytes);
        piece = held;
    }
    while (true)
    {
        if (failure)
        {
            co_return relay_result::peer_failed;
        }
        const bool last = answer_->is_done();
        const auto frame =
            frame_piece(answer_line_, piece.size(), chunked, last);
        answer_begun_ = true;
        report_write(true);
        const auto write_failure = co_await client_.write(
            to_buffer(start), to_buffer(frame.before_),
            asio::const_buffer(piece.data(), piece.size()),
            to_buffer(frame.after_));
        if (write_failure)
        {
            co_return relay_result::client_failed;
        }
        if (last)
        {
            answer_complete_ = true;
            co_return relay_result::complete;
        }
        report_write(false);
        start = {};
        piece = space.first(
            co_await read_body(peer_.connection(), *answer_, space, failure));
    }
}

void peer_exchange::report_write(bool begins)
{
    if (on_answer_write_)
    {
        on_answer_write_(begins);
    }
}

asio::awaitable<bool> peer_exchange::discard_answer()
{
    std::vector<char> space(settings_.relay_buffer_bytes_);
    std::size_t dropped = 0;
    error_code failure;
    while (!failure && !answer_->is_done() && dropped < space.size())
    {
        dropped +=
            co_await read_body(peer_.connection(), *answer_, space, failure);
    }
    answer_complete_ = !failure && answer_->is_done();
    co_return answer_complete_;
}

asio::awaitable<void> peer_exchange::close_request()
{
    if (!sending_body_)
    {
        co_return;
    }
    closing_ = true;
    client_.interrupt();
    interrupt();
    error_code ignored;
    while (sending_body_)
    {
        co_await sending_ended_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    client_.resume();
}

void peer_exchange::interrupt()
{
    peer_.connection().interrupt();
}

bool peer_exchange::has_unread_answer()
{
    return connected_ &&
           peer_.connection().probe_socket() == connection_readiness::readable;
}

std::string peer_exchange::describe_silence()
{
    if (!connected_)
    {
        return "no answer in time (connecting)";
    }
    const auto unacknowledged = peer_.connection().unacknowledged_bytes();
    return fmt::format(
        "no answer in time ({}, {} body bytes sent, {} bytes unacknowledged)",
        body_released_ ? "after the request" : "before the body", body_sent_,
        unacknowledged ? fmt::to_string(*unacknowledged) : "unknown");
}

void peer_exchange::finish(steady_time now)
{
    if (reusable())
    {
        peer_.return_to_owner(now);
    }
    else
    {
        peer_.discard();
    }
}

bool peer_exchange::reusable() const
{
    const bool body_complete =
        !announced_size_ || body_sent_ == *announced_size_;
    return body_complete && answer_ && answer_complete_ && request_sent_ &&
           answer_->keep_alive() && peer_.connection().buffer().size() == 0;
}

} // namespace hemlockshelf
