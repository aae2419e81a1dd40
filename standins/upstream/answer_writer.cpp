#include "standins/upstream/answer_writer.hpp"

#include <algorithm>
#include <array>
#include <span>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include "adapters/http/headers.hpp"
#include "hemlockshelf/core/json_text.hpp"
#include "standins/upstream/answer_pattern.hpp"
#include "standins/upstream/target_query.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using answer_message = http::response<http::buffer_body>;
using answer_serializer = http::response_serializer<http::buffer_body>;

namespace {

constexpr std::size_t chunk_bytes = 16'384;

std::uint64_t total_bytes(const answer_body& body)
{
    return body.json_prefix_.size() + body.filling_bytes_ +
           body.json_suffix_.size();
}

answer_message make_message(
    const answer_body& body,
    const answer_options& options,
    const std::string& request_id)
{
    answer_message answer{http::status::ok, 11};
    answer.set(http::field::content_type, "application/json");
    answer.set(headers::request_id, request_id);
    answer.keep_alive(options.keep_alive_);
    answer.content_length(total_bytes(body));
    return answer;
}

// Writes one chunk of the body; `more` tells whether another one follows.
asio::awaitable<bool> write_chunk(
    boost::beast::tcp_stream& stream,
    answer_message& answer,
    answer_serializer& serializer,
    std::span<char> chunk,
    bool more)
{
    answer.body().data = chunk.data();
    answer.body().size = chunk.size();
    answer.body().more = more;
    error_code failure;
    co_await http::async_write(
        stream, serializer, asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure || failure == http::error::need_buffer;
}

} // namespace

answer_body make_answer_body(const execution& run, const std::string& service)
{
    const nlohmann::json fields{
        {"request_id", run.request_id_},
        {"body_id", run.body_id_},
        {"body_bytes", run.body_bytes_},
        {"body_xxh3", run.body_hash_},
        {"service", service},
        {"upstream", run.upstream_},
        {"target", run.target_}};
    answer_body body;
    body.json_prefix_ = to_json_text(fields);
    body.json_prefix_.back() = ',';
    body.json_prefix_ += "\"filling\":\"";
    body.pattern_ = answer_pattern(run.request_id_, run.body_hash_);
    body.filling_bytes_ = number_parameter(run.target_, "answer_bytes");
    body.json_suffix_ = "\"}\n";
    return body;
}

asio::awaitable<bool> write_answer(
    boost::beast::tcp_stream& stream,
    const answer_body& body,
    const answer_options& options,
    const std::string& request_id)
{
    auto answer = make_message(body, options, request_id);
    answer_serializer serializer(answer);
    error_code failure;
    co_await http::async_write_header(
        stream, serializer, asio::redirect_error(asio::use_awaitable, failure));
    if (failure || !options.has_body_)
    {
        co_return !failure;
    }
    auto prefix = body.json_prefix_;
    auto suffix = body.json_suffix_;
    bool connected =
        co_await write_chunk(stream, answer, serializer, prefix, true);
    std::array<char, chunk_bytes> chunk{};
    for (std::uint64_t sent = 0; connected && sent < body.filling_bytes_;)
    {
        const auto size = static_cast<std::size_t>(
            std::min<std::uint64_t>(chunk.size(), body.filling_bytes_ - sent));
        fill_chunk(body.pattern_, sent, {chunk.data(), size});
        sent += size;
        connected = co_await write_chunk(
            stream, answer, serializer, {chunk.data(), size}, true);
    }
    connected = connected &&
                co_await write_chunk(stream, answer, serializer, suffix, false);
    co_return connected;
}

} // namespace hemlockshelf
