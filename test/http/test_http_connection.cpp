#include "adapters/http/http_connection.hpp"

#include <chrono>
#include <exception>
#include <string>
#include <thread>
#include <utility>

#include "scripted_server.hpp"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int operations = 200;
// Far below `operations`, but enough for a relay to work at full speed.
constexpr int max_operations_without_yield = 50;

using operation = asio::awaitable<error_code>(http_connection&);

asio::ip::tcp::socket connect(asio::io_context& context, const endpoint& server)
{
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(server.address_), server.port_});
    return socket;
}

asio::awaitable<void>
repeat(http_connection& connection, operation operate, int& done)
{
    for (; done < operations; ++done)
    {
        const auto failure = co_await operate(connection);
        cr_assert(!failure, "%s", failure.message().c_str());
    }
}

asio::awaitable<error_code> read_one_byte(http_connection& source)
{
    // Frees space for one byte, so that each read completes at once.
    if (source.buffer().size() > 0)
    {
        source.buffer().consume(1);
    }
    co_return co_await source.fill();
}

asio::awaitable<error_code> write_one_byte(http_connection& target)
{
    co_return co_await target.write(asio::buffer("x", 1));
}

/// Expects that other work of the event loop runs between operations that
/// complete at once.
void expect_other_work_to_run(
    asio::io_context& context, http_connection& connection, operation operate)
{
    int done = 0;
    int done_before_other_work = -1;
    asio::co_spawn(
        context, repeat(connection, operate, done),
        [](const std::exception_ptr& thrown)
        {
            cr_expect(!thrown);
        });
    asio::post(
        context,
        [&]
        {
            done_before_other_work = done;
        });
    context.run();
    cr_expect_eq(done, operations);
    cr_expect_leq(done_before_other_work, max_operations_without_yield);
}

error_code run(asio::io_context& context, asio::awaitable<error_code> task)
{
    error_code outcome;
    asio::co_spawn(
        context, std::move(task),
        [&outcome](const std::exception_ptr& thrown, error_code failure)
        {
            cr_expect(!thrown);
            outcome = failure;
        });
    context.restart();
    context.run();
    return outcome;
}

/// Waits until the end of the connection has arrived, without reading from it.
void wait_for_end(http_connection& connection)
{
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::seconds{5};
    while (!connection.peer_has_closed() &&
           std::chrono::steady_clock::now() < limit)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    cr_assert(connection.peer_has_closed());
}

/// Writes until a write fails.
error_code
write_until_failure(asio::io_context& context, http_connection& connection)
{
    error_code failure;
    for (int i = 0; i < operations && !failure; ++i)
    {
        failure = run(context, write_one_byte(connection));
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    return failure;
}

} // namespace

// Guards against idle connections that keep a read buffer: a node has hundreds
// of idle connections.
Test(http_connection, an_idle_connection_holds_no_read_buffer)
{
    constexpr std::size_t max_header_bytes = 16'384;
    constexpr std::size_t max_small_buffer_bytes = 512;
    scripted_server server(
        [](raw_connection& client)
        {
            client.send("short");
            client.read_until("!");
            client.send("again");
            client.read_all();
        });
    asio::io_context context;
    http_connection connection(
        connect(context, server.address()), max_header_bytes);
    const auto fill = [&]
    {
        asio::co_spawn(
            context, connection.fill(),
            [](const std::exception_ptr& thrown, auto failure)
            {
                cr_expect(!thrown && !failure);
            });
    };
    fill();
    context.run();
    cr_assert_eq(connection.buffer().size(), 5);
    cr_assert_leq(connection.buffer().capacity(), max_small_buffer_bytes);
    connection.buffer().consume(5);
    fill();
    context.restart();
    context.run_for(std::chrono::milliseconds{50});
    cr_assert_eq(connection.buffer().capacity(), 0);
    connection.socket().send(asio::buffer("!", 1));
    context.run();
    cr_assert_eq(connection.buffer().size(), 5);
}

// Guards against a relay from a fast peer that starves the timers of the event
// loop, including the timer of its own deadline.
Test(http_connection, reads_without_waiting_let_other_work_run)
{
    constexpr std::size_t sent = 16'384;
    scripted_server server(
        [](raw_connection& client)
        {
            client.send(std::string(sent, 'x'));
            client.read_all();
        });
    asio::io_context context;
    http_connection connection(connect(context, server.address()), 0);
    std::string arrived(sent, '\0');
    while (connection.socket().receive(
               asio::buffer(arrived), asio::socket_base::message_peek) < sent)
    {}
    expect_other_work_to_run(context, connection, read_one_byte);
}

// Guards against a relay to a fast client that starves the timers of the event
// loop.
Test(http_connection, writes_without_waiting_let_other_work_run)
{
    scripted_server server(
        [](raw_connection& client)
        {
            client.read_all();
        });
    asio::io_context context;
    http_connection connection(connect(context, server.address()), 0);
    expect_other_work_to_run(context, connection, write_one_byte);
}

// Guards against an ordinary end of a connection that was reset: the kernel
// reports the reset to the write only.
Test(http_connection, a_reset_that_a_write_has_met_is_no_ordinary_end)
{
    scripted_server server(
        [](raw_connection& client)
        {
            client.send("part");
            client.reset();
        });
    asio::io_context context;
    http_connection connection(connect(context, server.address()), 1024);
    wait_for_end(connection);
    cr_assert(
        write_until_failure(context, connection) ==
        asio::error::connection_reset);
    cr_assert(!run(context, connection.fill()));
    cr_assert_eq(connection.buffer().size(), 4);
    const auto end = run(context, connection.fill());
    cr_assert(
        end == asio::error::connection_reset, "%s", end.message().c_str());
}

// Guards against the same if the reset is reported to a probe.
Test(http_connection, a_reset_that_a_probe_has_met_is_no_ordinary_end)
{
    scripted_server server(
        [](raw_connection& client)
        {
            client.reset();
        });
    asio::io_context context;
    http_connection connection(connect(context, server.address()), 1024);
    wait_for_end(connection);
    cr_assert(connection.probe() == connection_readiness::closed);
    const auto end = run(context, connection.fill());
    cr_assert(
        end == asio::error::connection_reset, "%s", end.message().c_str());
}

// Guards against an incomplete message where a peer has sent its whole answer
// and its end before it refused the rest of a request.
Test(http_connection, an_end_before_a_failed_write_stays_an_ordinary_end)
{
    scripted_server server(
        [](raw_connection& client)
        {
            client.send("all");
        });
    asio::io_context context;
    http_connection connection(connect(context, server.address()), 1024);
    wait_for_end(connection);
    cr_assert(
        write_until_failure(context, connection) == asio::error::broken_pipe);
    cr_assert(!run(context, connection.fill()));
    cr_assert_eq(connection.buffer().size(), 3);
    const auto end = run(context, connection.fill());
    cr_assert(end == asio::error::eof, "%s", end.message().c_str());
}
