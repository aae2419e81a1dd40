#include "adapters/http/http_connection.hpp"

#include <chrono>
#include <exception>
#include <string>
#include <utility>

#include "scripted_server.hpp"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
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
// Far below `operations`, above what a relay needs to work at full speed.
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
    // Leaves room for one byte, so that each read finds another.
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

/// Expects that work of the same loop runs between operations that complete at
/// once.
void expect_other_work(
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

} // namespace

// Guards against idle connections that keep the memory of a read buffer: a node
// holds hundreds of them.
Test(http_connection, an_idle_connection_holds_no_read_buffer)
{
    constexpr std::size_t max_header_bytes = 16'384;
    constexpr std::size_t least_buffer = 512;
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
    cr_assert_leq(connection.buffer().capacity(), least_buffer);
    connection.buffer().consume(5);
    fill();
    context.restart();
    context.run_for(std::chrono::milliseconds{50});
    cr_assert_eq(connection.buffer().capacity(), 0);
    connection.socket().send(asio::buffer("!", 1));
    context.run();
    cr_assert_eq(connection.buffer().size(), 5);
}

// Guards against a relay from a peer that always has bytes at hand and that
// keeps the loop's timers, and so its own deadline, from running.
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
    expect_other_work(context, connection, read_one_byte);
}

// Guards against a relay to a client that takes everything at once and that
// keeps the loop's timers from running.
Test(http_connection, writes_without_waiting_let_other_work_run)
{
    scripted_server server(
        [](raw_connection& client)
        {
            client.read_all();
        });
    asio::io_context context;
    http_connection connection(connect(context, server.address()), 0);
    expect_other_work(context, connection, write_one_byte);
}
