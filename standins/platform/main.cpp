// Stand-in for the platform's table service and object store.

#include <chrono>
#include <iostream>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include "adapters/http/json_server.hpp"
#include "hemlockshelf/core/real_clock.hpp"
#include "standins/platform/platform_service.hpp"

DEFINE_string(listen, "127.0.0.1:7000", "address and port to listen on");
DEFINE_double(writes_per_second, 400, "limit of writes; further ones get 429");
DEFINE_double(reads_per_second, 2000, "limit of reads; further ones get 429");
DEFINE_int32(latency_ms, 0, "latency of each request");

namespace {

// Each request blocks one of these threads for the latency; 64 threads sustain
// the reads per second at a latency of up to 25 ms.
constexpr std::size_t worker_threads = 64;

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto listen_address = hemlockshelf::parse_endpoint(FLAGS_listen);
    if (!listen_address)
    {
        std::cerr << "--listen: " << listen_address.error().message_ << "\n";
        return 2;
    }
    boost::asio::io_context context;
    const hemlockshelf::real_clock time;
    hemlockshelf::platform_service service(
        time, {FLAGS_writes_per_second, FLAGS_reads_per_second,
               std::chrono::milliseconds{FLAGS_latency_ms}});
    const hemlockshelf::json_server server(
        context, *listen_address, worker_threads,
        [&service](
            const hemlockshelf::http_request& request, const std::string&)
        {
            return service.handle(request);
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
