#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_ANSWER_WRITER_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_ANSWER_WRITER_HPP

#include <cstdint>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>

#include "standins/upstream/execution_log.hpp"

namespace hemlockshelf {

/// Size and form of an answer.
struct answer_head
{
    std::uint64_t bytes_ = 0;
    bool keep_alive_ = true;
    /// False for HEAD.
    bool has_body_ = true;
};

/// Reads the answer's size from the query parameter `size`; without it the
/// pattern is sent once.
answer_head make_answer_head(
    const boost::beast::http::request_header<>& request, const execution& run);

/// Streams the answer. Its headers name the request, the hash and the size of
/// the body that has arrived, and the upstream. Returns false if the
/// connection broke.
boost::asio::awaitable<bool> write_answer(
    boost::beast::tcp_stream& stream,
    const answer_head& head,
    const execution& run);

} // namespace hemlockshelf

#endif
