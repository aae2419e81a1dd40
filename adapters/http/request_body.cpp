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
    if (continue_pending_)
    {
        continue_pending_ = false;
        failure = co_await client_.write(asio::buffer(continue_answer));
    }
    if (failure)
    {
        co_return std::span<const char>{};
    }
    const std::span<char> space(piece_);
    const auto count = co_await read_body(client_, parser_, space, failure);
    co_return hold(count);
}

std::span<const char> request_body::next_buffered(error_code& failure)
{
    failure = {};
    const auto replayed = replay();
    if (!replayed.empty() || parser_.is_done())
    {
        return replayed;
    }
    piece_.resize(piece_bytes_);
    return hold(parse_body(client_, parser_, piece_, failure));
}

asio::awaitable<error_code> request_body::await_first_piece()
{
    error_code failure;
    co_await next(failure);
    // Relies on a hold limit of at least one piece: a piece above the limit is
    // not kept and can't be replayed.
    rewind();
    co_return failure;
}

bool request_body::finished() const
{
    return parser_.is_done() &&
           (!holds_all_bytes_ || replay_position_ == held_bytes_.size());
}

bool request_body::received() const
{
    return parser_.is_done();
}

std::span<const char> request_body::replay()
{
    if (!holds_all_bytes_ || replay_position_ == held_bytes_.size())
    {
        return {};
    }
    const std::span<const char> rest(
        held_bytes_.data() + replay_position_,
        held_bytes_.size() - replay_position_);
    replay_position_ = held_bytes_.size();
    return rest;
}

std::span<const char> request_body::hold(std::size_t count)
{
    const std::span<const char> piece(piece_.data(), count);
    if (!holds_all_bytes_)
    {
        return piece;
    }
    if (held_bytes_.size() + count > hold_limit_)
    {
        holds_all_bytes_ = false;
        held_bytes_ = {};
        return piece;
    }
    held_bytes_.append(piece.data(), count);
    replay_position_ = held_bytes_.size();
    return piece;
}

} // namespace hemlockshelf
