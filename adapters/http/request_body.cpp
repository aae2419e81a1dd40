#include "adapters/http/request_body.hpp"

#include <string_view>

namespace hemlockshelf {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::string_view continue_answer = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

request_body::request_body(
    http_connection& client,
    request_parser& parser,
    std::size_t piece_bytes,
    std::size_t hold_limit)
    : client_(client), parser_(parser), piece_bytes_(piece_bytes),
      hold_limit_(hold_limit)
{}

asio::awaitable<std::span<const char>> request_body::next(error_code& failure)
{
    const auto at_hand = next_buffered(failure);
    if (!at_hand.empty() || failure || parser_.is_done())
    {
        co_return at_hand;
    }
    if (owes_continue_)
    {
        owes_continue_ = false;
        failure = co_await client_.write(asio::buffer(continue_answer));
    }
    if (failure)
    {
        co_return std::span<const char>{};
    }
    const std::span<char> space(piece_);
    const auto count = co_await read_body(client_, parser_, space, failure);
    co_return keep(count);
}

std::span<const char> request_body::next_buffered(error_code& failure)
{
    failure = {};
    const auto again = replay();
    if (!again.empty() || parser_.is_done())
    {
        return again;
    }
    piece_.resize(piece_bytes_);
    return keep(parse_body(client_, parser_, piece_, failure));
}

asio::awaitable<error_code> request_body::await_first_piece()
{
    error_code failure;
    co_await next(failure);
    // With no byte held the piece can't be replayed; the caller's hold limit
    // is at least one piece.
    rewind();
    co_return failure;
}

bool request_body::finished() const
{
    return parser_.is_done() && (!held_whole_ || replayed_ == held_.size());
}

bool request_body::received() const
{
    return parser_.is_done();
}

std::span<const char> request_body::replay()
{
    if (!held_whole_ || replayed_ == held_.size())
    {
        return {};
    }
    const std::span<const char> rest(
        held_.data() + replayed_, held_.size() - replayed_);
    replayed_ = held_.size();
    return rest;
}

std::span<const char> request_body::keep(std::size_t count)
{
    const std::span<const char> piece(piece_.data(), count);
    if (!held_whole_)
    {
        return piece;
    }
    if (held_.size() + count > hold_limit_)
    {
        held_whole_ = false;
        held_ = {};
        return piece;
    }
    held_.append(piece.data(), count);
    replayed_ = held_.size();
    return piece;
}

} // namespace hemlockshelf
