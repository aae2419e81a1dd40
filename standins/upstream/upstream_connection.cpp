#include "standins/upstream/upstream_connection.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "adapters/http/headers.hpp"
#include "standins/upstream/answer_writer.hpp"
#include "standins/upstream/target_query.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t chunk_bytes = 16'384;

std::string to_text(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

// Returns the first word of a body, given its first chunk.
std::string first_word(std::string_view chunk)
{
    constexpr std::size_t max_word = 128;
    return std::string(chunk.substr(0, std::min(chunk.find(' '), max_word)));
}

// Returns the deadline that the caller sends in the header, if any.
std::optional<std::chrono::milliseconds>
deadline_of(const http::request_header<>& request)
{
    const auto text = request[headers::deadline_ms];
    std::int64_t value = 0;
    const auto [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || failure != std::errc() ||
        end != text.data() + text.size())
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

} // namespace

upstream_connection::upstream_connection(
    asio::ip::tcp::socket socket, upstream_state& state, upstream_logs& logs)
    : stream_(std::move(socket)), state_(state), logs_(logs)
{}

asio::awaitable<void> upstream_connection::run()
{
    error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    bool more = true;
    while (more)
    {
        more = co_await serve_one();
    }
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    --state_.connections_;
}

asio::awaitable<bool> upstream_connection::serve_one()
{
    request_parser parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    error_code failure;
    co_await http::async_read_header(
        stream_, buffer_, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
    {
        co_return false;
    }
    if (!try_acquire_slot(state_))
    {
        co_return co_await shed(parser);
    }
    const bool more = co_await execute(parser);
    release_slot(state_);
    co_return more;
}

// If the client expects `100 Continue`, its body is not requested. Any
// other body is read to its end, because closing the connection with unread
// data could discard the answer.
asio::awaitable<bool> upstream_connection::shed(request_parser& parser)
{
    const bool expects_continue =
        !parser.get()[http::field::expect].empty() && !parser.is_done();
    body_hash ignored_hash;
    execution ignored_execution;
    if (!expects_continue &&
        !co_await read_body(parser, ignored_hash, ignored_execution))
    {
        co_return false;
    }
    co_return co_await send_refusal(
        503, parser.keep_alive() && !expects_continue);
}

asio::awaitable<bool> upstream_connection::execute(request_parser& parser)
{
    const auto& request = parser.get();
    execution run;
    run.request_id_ = to_text(request[headers::request_id]);
    run.method_ = to_text(request.method_string());
    run.target_ = to_text(request.target());
    run.upstream_ = to_string(state_.settings_.listen_);
    run.started_at_ = std::chrono::system_clock::now();
    logs_.starts_.record(run.request_id_, run.upstream_);
    const bool more = co_await run_request(parser, run);
    ++(run.completed_ ? state_.counters_.completed_
                      : state_.counters_.cancelled_);
    logs_.outcomes_.write(run);
    co_return more;
}

asio::awaitable<bool>
upstream_connection::run_request(request_parser& parser, execution& run)
{
    const auto now = std::chrono::steady_clock::now();
    const auto deadline = deadline_of(parser.get());
    const auto time =
        draw_service_time(state_, now) +
        std::chrono::milliseconds(number_parameter(run.target_, "work_ms"));
    const bool in_time = !deadline || time <= *deadline;
    body_hash hash;
    bool connected = co_await send_continue(parser);
    connected = connected && co_await read_body(parser, hash, run);
    run.body_hash_ = hash.to_string();
    connected = connected && co_await simulate_work(in_time ? time : *deadline);
    run.ended_at_ = std::chrono::system_clock::now();
    if (!connected)
    {
        co_return false;
    }
    if (!in_time)
    {
        co_return co_await send_refusal(504, parser.keep_alive());
    }
    run.completed_ = true;
    run.answered_ = co_await send_answer(parser, run);
    co_return run.answered_&& parser.keep_alive();
}

asio::awaitable<bool>
upstream_connection::send_continue(const request_parser& parser)
{
    if (parser.get()[http::field::expect].empty() || parser.is_done())
    {
        co_return true;
    }
    http::response<http::empty_body> continue_response{
        http::status::continue_, 11};
    error_code failure;
    co_await http::async_write(
        stream_, continue_response,
        asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
}

asio::awaitable<bool> upstream_connection::read_body(
    request_parser& parser, body_hash& hash, execution& run)
{
    std::array<char, chunk_bytes> chunk{};
    while (!parser.is_done())
    {
        auto& body = parser.get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        error_code failure;
        co_await http::async_read(
            stream_, buffer_, parser,
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure && failure != http::error::need_buffer)
        {
            co_return false;
        }
        const auto read = chunk.size() - body.size;
        hash.add({chunk.data(), read});
        if (run.body_bytes_ == 0)
        {
            run.body_id_ = first_word({chunk.data(), read});
        }
        run.body_bytes_ += read;
    }
    co_return true;
}

// Waits for `time`. Returns false if the client closes the connection first.
asio::awaitable<bool>
upstream_connection::simulate_work(std::chrono::nanoseconds time)
{
    using namespace asio::experimental::awaitable_operators;
    if (time <= std::chrono::nanoseconds::zero())
    {
        co_return true;
    }
    asio::steady_timer timer(stream_.get_executor(), time);
    auto& socket = stream_.socket();
    error_code timer_failure;
    error_code socket_failure;
    const auto first = co_await (
        timer.async_wait(
            asio::redirect_error(asio::use_awaitable, timer_failure)) ||
        socket.async_wait(
            asio::ip::tcp::socket::wait_read,
            asio::redirect_error(asio::use_awaitable, socket_failure)));
    if (first.index() == 0)
    {
        co_return true;
    }
    if (socket_failure || socket.available(socket_failure) == 0)
    {
        co_return false;
    }
    // The client has already sent its next request.
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, timer_failure));
    co_return true;
}

asio::awaitable<bool> upstream_connection::send_answer(
    const request_parser& parser, const execution& run)
{
    const answer_body body = make_answer_body(run, state_.settings_.service_);
    const answer_options options{
        parser.keep_alive(), parser.get().method() != http::verb::head};
    co_return co_await write_answer(stream_, body, options, run.request_id_);
}

asio::awaitable<bool>
upstream_connection::send_refusal(unsigned status, bool keep_alive)
{
    http::response<http::string_body> answer{
        static_cast<http::status>(status), 11};
    answer.body() = "refused by the upstream\n";
    answer.keep_alive(keep_alive);
    answer.prepare_payload();
    error_code failure;
    co_await http::async_write(
        stream_, answer, asio::redirect_error(asio::use_awaitable, failure));
    co_return keep_alive && !failure;
}

} // namespace hemlockshelf
