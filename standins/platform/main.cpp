// Stand-in for the platform's table service and object store.

#include <iostream>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include "adapters/http/json_server.hpp"
#include "standins/platform/memory_tables.hpp"
#include "standins/platform/platform_handler.hpp"

DEFINE_string(listen, "127.0.0.1:7000", "address and port to listen on");

namespace {

constexpr std::size_t worker_threads = 8;

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto where = hemlockshelf::parse_endpoint(FLAGS_listen);
    if (!where)
    {
        std::cerr << "--listen: " << where.error().message_ << "\n";
        return 2;
    }
    boost::asio::io_context context;
    hemlockshelf::memory_tables tables;
    const hemlockshelf::json_server server(
        context, *where, worker_threads,
        [&tables](const hemlockshelf::http_request& request, const std::string&)
        {
            return hemlockshelf::handle_platform_request(tables, request);
        });
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&context](const auto&, int)
        {
            context.stop();
        });
    context.run();
    return 0;
}
