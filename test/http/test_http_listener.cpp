#include "adapters/http/http_listener.hpp"

#include <chrono>
#include <ctime>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include "adapters/http/call_server.hpp"
#include "adapters/http/json_server.hpp"
#include "scripted_server.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;
using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t port = 7000;

/// Returns an address that no other test uses: each test runs in its own
/// process, and the address is derived from the process id.
endpoint own_address()
{
    const auto id = static_cast<unsigned>(getpid());
    return {
        fmt::format("127.43.{}.{}", (id >> 8U) % 256, 1 + (id % 250)), port};
}

/// Runs a server on one thread.
template <class Server>
class server_runner
{
public:
    template <class... Arguments>
    explicit server_runner(Arguments... arguments)
        : server_(context_, own_address(), std::move(arguments)...),
          thread_(
              [this]
              {
                  context_.run();
              })
    {}

    ~server_runner()
    {
        context_.stop();
        thread_.join();
    }

    server_runner(const server_runner&) = delete;
    server_runner& operator=(const server_runner&) = delete;

private:
    boost::asio::io_context context_;
    Server server_;
    std::thread thread_;
};

std::string get(const std::string& path, const std::string& header = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + header + "\r\n";
}

bool ends_with_body(const std::string& answer, const std::string& body)
{
    return answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(body);
}

http_response text_response(const std::string& text)
{
    http_response response{boost::beast::http::status::ok, 11};
    response.body() = text;
    return response;
}

boost::asio::awaitable<http_response> echo_path(http_request request)
{
    auto response = text_response(target_path(request));
    co_return response;
}

http_response answer_by_path(const http_request& request, const std::string&)
{
    const auto path = target_path(request);
    if (path == "/lose")
    {
        throw withheld_response(milliseconds{50});
    }
    if (path == "/fail")
    {
        throw std::runtime_error("broken handler");
    }
    return text_response(path);
}

} // namespace

// Guards against a connection that serves only one request, or continues after
// the client asked to close it.
Test(http_listener, requests_of_a_connection_are_served_in_order)
{
    const server_runner<call_server> server(call_server::handler{echo_path});
    raw_connection client(own_address());
    client.send(get("/1") + get("/2"));
    cr_assert(ends_with_body(client.read_message(), "/1"));
    cr_assert(ends_with_body(client.read_message(), "/2"));
    client.send(get("/3", "Connection: close\r\n") + get("/4"));
    cr_assert(ends_with_body(client.read_all(), "/3"));
}

// Guards against a request body that exhausts the memory.
Test(http_listener, a_body_beyond_the_limit_closes_the_connection)
{
    const server_runner<json_server> server(
        std::size_t{1}, json_server::handler{answer_by_path});
    raw_connection client(own_address());
    client.send(
        "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 16777217\r\n\r\n");
    cr_assert(client.read_all().empty());
}

// Guards against handlers that run on the thread of the context, where one
// that blocks would stop every connection.
// Guards against a process that ends because the last chunk of an empty body
// arrives in pieces.
Test(http_listener, a_last_chunk_may_arrive_in_pieces)
{
    const server_runner<call_server> server(echo_path);
    const std::string body = "0\r\n\r\n";
    raw_connection client(own_address());
    for (std::size_t first = 0; first < body.size(); ++first)
    {
        client.send(get("/chunked", "Transfer-Encoding: chunked\r\n"));
        client.send(body.substr(0, first));
        std::this_thread::sleep_for(milliseconds{5});
        client.send(body.substr(first, 1));
        std::this_thread::sleep_for(milliseconds{5});
        client.send(body.substr(first + 1));
        cr_assert(
            ends_with_body(client.read_message(), "/chunked"),
            "after %zu bytes", first);
    }
}

// Guards against a faulty client that sends a line without end, such as a chunk
// extension, all of which is kept until the process runs out of memory.
Test(http_listener, a_line_without_end_closes_the_connection)
{
    const server_runner<call_server> server(echo_path);
    raw_connection client(own_address());
    client.send(get("/chunked", "Transfer-Encoding: chunked\r\n") + "5;x=");
    const std::string block(std::size_t{64} << 10U, 'x');
    constexpr int most_blocks = 256;
    int sent = 0;
    while (sent < most_blocks && client.send(block))
    {
        ++sent;
    }
    cr_assert(sent < most_blocks);
}

Test(json_server, a_blocked_handler_does_not_stop_the_others)
{
    auto released = std::make_shared<std::promise<void>>();
    const server_runner<json_server> server(
        std::size_t{2},
        json_server::handler{
            [released](const http_request& request, const std::string&)
            {
                const auto path = target_path(request);
                if (path == "/blocked")
                {
                    released->get_future().wait();
                }
                return text_response(path);
            }});
    raw_connection blocked(own_address());
    blocked.send(get("/blocked"));
    raw_connection other(own_address());
    other.send(get("/other"));
    cr_assert(ends_with_body(other.read_message(), "/other"));
    released->set_value();
    cr_assert(ends_with_body(blocked.read_message(), "/blocked"));
}

// Guards against a withheld answer that is sent after all, or whose connection
// is closed before the wait ends.
Test(json_server, a_withheld_answer_closes_the_connection_after_the_wait)
{
    const server_runner<json_server> server(
        std::size_t{1}, json_server::handler{answer_by_path});
    raw_connection client(own_address());
    const auto before = std::chrono::steady_clock::now();
    client.send(get("/lose"));
    cr_assert(client.read_all().empty());
    cr_assert(std::chrono::steady_clock::now() - before >= milliseconds{50});
}

// Guards against an exception of a handler that ends the connection or the
// process.
Test(json_server, a_failed_handler_is_an_internal_error)
{
    const server_runner<json_server> server(
        std::size_t{1}, json_server::handler{answer_by_path});
    raw_connection client(own_address());
    client.send(get("/fail") + get("/1"));
    cr_assert(
        client.read_message().find("broken handler") != std::string::npos);
    cr_assert(ends_with_body(client.read_message(), "/1"));
}

// Guards against an accept that fails for a lack of file descriptors and is
// repeated without a pause.
Test(http_listener, a_failed_accept_keeps_no_thread_busy)
{
    const server_runner<call_server> server(call_server::handler{echo_path});
    raw_connection first(own_address());
    first.send(get("/1"));
    cr_assert(ends_with_body(first.read_message(), "/1"));
    // Leaves one descriptor, which the second client takes.
    const int next = dup(STDIN_FILENO);
    close(next);
    rlimit limit{};
    cr_assert(getrlimit(RLIMIT_NOFILE, &limit) == 0);
    const rlimit scarce{static_cast<rlim_t>(next) + 1, limit.rlim_max};
    cr_assert(setrlimit(RLIMIT_NOFILE, &scarce) == 0);
    raw_connection second(own_address());
    const auto before = std::clock();
    std::this_thread::sleep_for(milliseconds{400});
    const auto used = std::clock() - before;
    cr_assert(setrlimit(RLIMIT_NOFILE, &limit) == 0);
    cr_assert_lt(used, CLOCKS_PER_SEC / 10);
    second.send(get("/2"));
    cr_assert(ends_with_body(second.read_message(), "/2"));
}
