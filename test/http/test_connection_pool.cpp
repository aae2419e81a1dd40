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
        auto lease = pool.take(server.where(), 1, executor, time.now());
        cr_assert(lease.has_value());
        cr_assert(!pool.take(server.where(), 1, executor, time.now()));
        connect(context, *lease);
        lease->give_back(time.now());
    }
    cr_assert(pool.take(server.where(), 1, executor, time.now())->reused());
    {
        auto lease = pool.take(server.where(), 1, executor, time.now());
        connect(context, *lease);
        lease->give_back(time.now());
    }
    time.advance(settings.pool_idle_age_ + std::chrono::seconds{1});
    cr_assert(!pool.take(server.where(), 1, executor, time.now())->reused());
    cr_assert_eq(pool.open(server.where()), 0);
}
