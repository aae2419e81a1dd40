#include <boost/asio/io_context.hpp>

#include "adapters/http/connection_pool.hpp"
#include "hemlockshelf/core/manual_clock.hpp"
#include "scripted_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;

namespace {

void connect(boost::asio::io_context& context, connection_lease& lease)
{
    boost::asio::co_spawn(context, lease.connect({}), boost::asio::detached);
    context.restart();
    context.run();
}

} // namespace

// Guards against more open connections to a peer than allowed, and against a
// connection that is reused beyond its age.
Test(connection_pool, open_connections_and_their_age_are_bounded)
{
    scripted_server server(
        [](raw_connection& peer)
        {
            peer.read_all();
        });
    boost::asio::io_context context;
    manual_clock time;
    const call_settings settings;
    connection_pool pool(settings);
    const auto executor = context.get_executor();
    {
        auto lease = pool.take(server.address(), 1, executor, time.now());
        cr_assert(lease.has_value());
        cr_assert(!pool.take(server.address(), 1, executor, time.now()));
        connect(context, *lease);
        lease->return_to_owner(time.now());
    }
    cr_assert(pool.take(server.address(), 1, executor, time.now())->reused());
    {
        auto lease = pool.take(server.address(), 1, executor, time.now());
        connect(context, *lease);
        lease->return_to_owner(time.now());
    }
    time.advance(settings.pool_idle_age_ + std::chrono::seconds{1});
    cr_assert(!pool.take(server.address(), 1, executor, time.now())->reused());
    cr_assert_eq(pool.open(server.address()), 0);
}

// Guards against a call that uses a connection of another thread's loop: each
// of its reads and writes then wakes that thread and waits for it.
Test(connection_pool, a_reused_connection_belongs_to_the_loop_of_its_call)
{
    scripted_server server(
        [](raw_connection& peer)
        {
            peer.send(peer.read_until("ping"));
            peer.read_all();
        });
    boost::asio::io_context first;
    boost::asio::io_context second;
    manual_clock time;
    const call_settings settings;
    connection_pool pool(settings);
    {
        auto lease =
            pool.take(server.address(), 1, first.get_executor(), time.now());
        connect(first, *lease);
        lease->return_to_owner(time.now());
    }
    auto lease =
        pool.take(server.address(), 1, second.get_executor(), time.now());
    auto& connection = lease->connection();
    cr_assert(lease->reused());
    cr_assert(connection.socket().get_executor() == second.get_executor());
    const std::string ping = "ping";
    boost::asio::co_spawn(
        second, connection.write(boost::asio::buffer(ping)),
        boost::asio::detached);
    boost::asio::co_spawn(second, connection.fill(), boost::asio::detached);
    second.run();
    cr_assert_eq(connection.buffer().size(), ping.size());
}
