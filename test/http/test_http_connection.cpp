#include "adapters/http/http_connection.hpp"

#include <chrono>
#include <exception>
#include <utility>

#include "scripted_server.hpp"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;

namespace asio = boost::asio;

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
    asio::ip::tcp::socket socket(context);
    socket.connect(
        {asio::ip::make_address(server.where().address_),
         server.where().port_});
    http_connection connection(std::move(socket), max_header_bytes);
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
