#include "experiment/load_generator.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <sys/socket.h>

#include "adapters/http/headers.hpp"
#include "adapters/http/tcp_endpoint.hpp"
#include "experiment/call_answer.hpp"
#include "experiment/wait.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::uint64_t max_answer_bytes = 64ULL * 1024 * 1024;

std::string make_body(const std::string& id, std::size_t size)
{
    auto body = id + " ";
    body.resize(std::max(size, body.size()), 'x');
    return body;
}

/// Returns whether the server has kept an idle connection open. Without this
/// check, a request could fail on a connection that was closed long ago.
bool is_open(beast::tcp_stream& stream)
{
    char byte = 0;
    const auto got = ::recv(
        stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

load_generator::load_generator(load_options options)
    : options_(std::move(options)), rate_(options_.rate_),
      random_(options_.seed_)
{
    for (const auto& destination : options_.targets_)
    {
        targets_.push_back(std::make_unique<target>());
        targets_.back()->endpoint_ = destination;
    }
}

load_generator::~load_generator()
{
    stop();
}

void load_generator::start()
{
    asio::co_spawn(context_, issue_loop(), asio::detached);
    thread_ = std::thread(
        [this]
        {
            context_.run();
        });
}

std::vector<request_record> load_generator::stop()
{
    stopping_ = true;
    if (thread_.joinable())
    {
        thread_.join();
    }
    for (const auto& item : targets_)
    {
        // Connections must not outlive the context.
        item->idle_.clear();
    }
    return std::move(records_);
}

void load_generator::set_rate(double rate)
{
    rate_ = rate;
}

void load_generator::exclude(std::size_t index)
{
    targets_.at(index)->excluded_ = true;
}

void load_generator::include(std::size_t index)
{
    targets_.at(index)->excluded_ = false;
}

asio::awaitable<void> load_generator::issue_loop()
{
    auto next = std::chrono::steady_clock::now();
    asio::steady_timer timer(context_);
    while (!stopping_)
    {
        const std::chrono::duration<double> gap(1.0 / rate_);
        next += std::chrono::duration_cast<std::chrono::nanoseconds>(gap);
        timer.expires_at(next);
        co_await timer.async_wait(asio::use_awaitable);
        // The latency of a call includes any delay of this loop, because it is
        // measured from the scheduled time.
        const auto late = std::chrono::duration_cast<event_time>(
            std::chrono::steady_clock::now() - next);
        asio::co_spawn(
            context_, run_call(event_now() - late, choose_target()),
            asio::detached);
    }
}

std::size_t load_generator::choose_target()
{
    std::vector<std::size_t> usable;
    for (std::size_t index = 0; index < targets_.size(); ++index)
    {
        if (!targets_[index]->excluded_)
        {
            usable.push_back(index);
        }
    }
    return usable.empty() ? 0 : usable[random_() % usable.size()];
}

bool load_generator::chance(double share)
{
    return std::uniform_real_distribution<>(0, 1)(random_) < share;
}

http_request load_generator::make_call(request_record& record)
{
    const bool large = chance(options_.large_share_);
    record.idempotent_ = !chance(options_.non_idempotent_share_);
    record.id_ =
        request_id{fmt::format("{}-{}", options_.id_prefix_, ++last_number_)};
    const auto& id = record.id_.value();
    const auto filling = large ? options_.large_bytes_ : 0;
    record.path_ = options_.next_path_ ? options_.next_path_() : "/items/" + id;
    http_request request{
        record.idempotent_ ? http::verb::put : http::verb::post,
        fmt::format(
            "{}?work_ms={}&answer_bytes={}", record.path_,
            options_.work_.count(), filling),
        11};
    request.set(
        http::field::host, options_.hosts_[random_() % options_.hosts_.size()]);
    request.set(headers::account, options_.account_);
    request.set(headers::request_id, id);
    request.set(headers::idempotency_key, id);
    request.set(
        headers::deadline_ms, std::to_string(options_.timeout_.count()));
    request.body() =
        make_body(id, large ? options_.large_bytes_ : options_.small_bytes_);
    request.prepare_payload();
    record.sent_body_bytes_ = request.body().size() + filling;
    return request;
}

asio::awaitable<void>
load_generator::run_call(event_time scheduled_at, std::size_t index)
{
    request_record record;
    record.sent_at_ = scheduled_at;
    auto request = make_call(record);
    co_await exchange_once(*targets_[index], std::move(request), record);
    record.answered_at_ = event_now();
    records_.push_back(std::move(record));
}

asio::awaitable<load_generator::stream_ptr>
load_generator::connect(target& destination)
{
    while (!destination.idle_.empty())
    {
        auto stream = std::move(destination.idle_.back());
        destination.idle_.pop_back();
        if (is_open(*stream))
        {
            co_return stream;
        }
    }
    auto stream = std::make_unique<beast::tcp_stream>(context_);
    stream->expires_after(options_.timeout_);
    boost::system::error_code failure;
    const auto server = to_tcp(destination.endpoint_);
    co_await stream->async_connect(
        server, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
    {
        co_return nullptr;
    }
    stream->socket().set_option(tcp::no_delay(true), failure);
    co_return stream;
}

asio::awaitable<bool> load_generator::exchange_once(
    target& destination, http_request request, request_record& record)
{
    auto stream = co_await connect(destination);
    if (!stream)
    {
        record.error_ = "no_connection";
        co_return false;
    }
    // The node responds by the deadline; a later response counts as missing.
    stream->expires_after(options_.timeout_ + std::chrono::seconds{1});
    boost::system::error_code failure;
    co_await http::async_write(
        *stream, request, asio::redirect_error(asio::use_awaitable, failure));
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    // A node may refuse a large body before it has read all of it.
    failure = {};
    co_await http::async_read(
        *stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
    {
        record.error_ = "no_answer: " + failure.message();
        co_return false;
    }
    const auto response = parser.release();
    read_call_answer(response, record);
    if (response.keep_alive())
    {
        destination.idle_.push_back(std::move(stream));
    }
    co_return true;
}

} // namespace hemlockshelf
