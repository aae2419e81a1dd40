#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_CONNECTION_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_CONNECTION_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "standins/upstream/answer_pattern.hpp"
#include "standins/upstream/upstream_logs.hpp"
#include "standins/upstream/upstream_state.hpp"

namespace hemlockshelf {

/// One connection to the stand-in. Bodies are streamed in both directions and
/// never buffered as a whole.
class upstream_connection
{
public:
    upstream_connection(
        boost::asio::ip::tcp::socket socket,
        upstream_state& state,
        upstream_logs& logs);

    /// Serves requests until the connection ends.
    boost::asio::awaitable<void> run();

private:
    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<bool> serve_one();
    boost::asio::awaitable<bool> shed(request_parser& parser);
    boost::asio::awaitable<bool> execute(request_parser& parser);
    boost::asio::awaitable<bool>
    run_request(request_parser& parser, execution& run);
    boost::asio::awaitable<bool> send_continue(const request_parser& parser);
    boost::asio::awaitable<bool>
    read_body(request_parser& parser, body_hash& hash, execution& run);
    boost::asio::awaitable<bool> simulate_work(std::chrono::nanoseconds time);
    boost::asio::awaitable<bool>
    send_answer(const request_parser& parser, const execution& run);
    boost::asio::awaitable<bool> send_refusal(unsigned status, bool keep_alive);

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    upstream_state& state_;
    upstream_logs& logs_;
};

} // namespace hemlockshelf

#endif
