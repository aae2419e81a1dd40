#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_ANSWER_WRITER_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_ANSWER_WRITER_HPP

#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "standins/upstream/outcome_log.hpp"

namespace hemlockshelf {

/// Body of an answer: a JSON object. Only the filling can be large, so it is
/// generated while it is sent.
struct answer_body
{
    std::string json_prefix_;
    std::string pattern_;
    std::uint64_t filling_bytes_ = 0;
    std::string json_suffix_;
};

/// Options for sending an answer.
struct answer_options
{
    bool keep_alive_ = true;
    /// False for HEAD.
    bool has_body_ = true;
};

/// Makes the answer to an execution. Its fields are `request_id`, `body_id`
/// (the first word of the body), `body_bytes`, `body_xxh3`, `service`,
/// `upstream`, `target`, and `filling`, whose size in bytes is the query
/// parameter `answer_bytes`.
answer_body make_answer_body(const execution& run, const std::string& service);

/// Streams an answer whose header repeats the request's id. Returns false if
/// the connection failed.
boost::asio::awaitable<bool> write_answer(
    boost::beast::tcp_stream& stream,
    const answer_body& body,
    const answer_options& options,
    const std::string& request_id);

} // namespace hemlockshelf

#endif
