#include "standins/upstream/answer_writer.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <string_view>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "standins/upstream/answer_pattern.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using answer_message = http::response<http::buffer_body>;
using answer_serializer = http::response_serializer<http::buffer_body>;

namespace {

constexpr std::size_t part_bytes = 16'384;
constexpr std::string_view size_parameter = "size=";

// Returns the number after `size=` in the query, or the fallback.
std::uint64_t read_size(std::string_view target, std::uint64_t fallback)
{
    const auto query = target.find('?');
    if (query == std::string_view::npos)
    {
        return fallback;
    }
    const auto found = target.find(size_parameter, query + 1);
    if (found == std::string_view::npos ||
        (target[found - 1] != '?' && target[found - 1] != '&'))
    {
        return fallback;
    }
    const auto number = target.substr(found + size_parameter.size());
    std::uint64_t size = fallback;
    std::from_chars(number.data(), number.data() + number.size(), size);
    return size;
}

answer_message make_message(const answer_head& head, const execution& run)
{
    answer_message answer{http::status::ok, 11};
    answer.set(http::field::content_type, "text/plain");
    answer.set("Upstream-Request-Id", run.request_id_);
    answer.set("Upstream-Body-Xxh3", run.body_hash_);
    answer.set("Upstream-Body-Bytes", std::to_string(run.body_bytes_));
    answer.set("Upstream-Address", run.upstream_);
    answer.keep_alive(head.keep_alive_);
    answer.content_length(head.bytes_);
    return answer;
}

} // namespace

answer_head
make_answer_head(const http::request_header<>& request, const execution& run)
{
    const auto pattern = answer_pattern(run.request_id_, run.body_hash_);
    const auto connection = request[http::field::connection];
    answer_head head;
    head.bytes_ = read_size(run.target_, pattern.size());
    head.keep_alive_ =
        request.version() >= 11 && !boost::beast::iequals(connection, "close");
    head.has_body_ = request.method() != http::verb::head;
    return head;
}

asio::awaitable<bool> write_answer(
    boost::beast::tcp_stream& stream,
    const answer_head& head,
    const execution& run)
{
    auto answer = make_message(head, run);
    answer_serializer serializer(answer);
    error_code failure;
    co_await http::async_write_header(
        stream, serializer, asio::redirect_error(asio::use_awaitable, failure));
    const auto pattern = answer_pattern(run.request_id_, run.body_hash_);
    std::array<char, part_bytes> part{};
    std::uint64_t sent = head.has_body_ ? 0 : head.bytes_;
    while (!failure && sent < head.bytes_)
    {
        const auto size = static_cast<std::size_t>(
            std::min<std::uint64_t>(part.size(), head.bytes_ - sent));
        fill_answer(pattern, sent, {part.data(), size});
        sent += size;
        answer.body().data = part.data();
        answer.body().size = size;
        answer.body().more = sent < head.bytes_;
        co_await http::async_write(
            stream, serializer,
            asio::redirect_error(asio::use_awaitable, failure));
        failure = failure == http::error::need_buffer ? error_code() : failure;
    }
    co_return !failure;
}

} // namespace hemlockshelf
