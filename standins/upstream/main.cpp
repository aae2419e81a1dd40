// Stand-in for an upstream: announces itself to its node and serves requests.

#include <chrono>
#include <exception>
#include <future>
#include <iostream>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include "adapters/http/json_server.hpp"
#include "standins/upstream/command_handler.hpp"

DEFINE_string(listen, "127.0.0.1:7005", "address and port to listen on");
DEFINE_string(node, "127.0.0.1:7004", "admin address of the node");
DEFINE_string(commands, "", "address and port for commands; empty for none");
DEFINE_string(service, "catalogue", "service to announce");
DEFINE_string(client_account, "regie", "client account of the service");
DEFINE_uint32(slots, 20, "maximum number of concurrent requests");
DEFINE_uint32(connections, 110, "maximum number of open connections");
DEFINE_uint32(service_ms, 0, "service time of a request");
DEFINE_uint32(jitter_ms, 0, "maximum random addition to service_ms");
DEFINE_uint32(cold_start_ms, 0, "duration of the cold start");
DEFINE_double(cold_factor, 5, "service time factor during the cold start");
DEFINE_uint32(drain_linger_ms, 1500, "minimum time from drain to exit");
DEFINE_uint32(drain_limit_ms, 30'000, "maximum wait for running requests");
DEFINE_string(
    health, "truthful", "health answer: truthful, always_ok, always_failing");
DEFINE_string(execution_log, "", "file to log each executed request to");
DEFINE_string(outcome_log, "", "file to log each outcome to");

namespace {

using namespace hemlockshelf;

constexpr std::chrono::seconds command_timeout{2};

std::optional<health_mode> read_health_mode(const std::string& text)
{
    if (text == "truthful")
    {
        return health_mode::truthful;
    }
    if (text == "always_ok")
    {
        return health_mode::always_ok;
    }
    return text == "always_failing" ? std::optional(health_mode::always_failing)
                                    : std::nullopt;
}

endpoint read_endpoint(const char* flag, const std::string& text)
{
    const auto parsed = parse_endpoint(text);
    if (!parsed)
    {
        throw std::invalid_argument(
            std::string("--") + flag + ": " + parsed.error().message_);
    }
    return *parsed;
}

upstream_settings read_flags()
{
    using std::chrono::milliseconds;
    const auto health = read_health_mode(FLAGS_health);
    if (!health)
    {
        throw std::invalid_argument(
            "--health: expected truthful, always_ok or always_failing, given " +
            FLAGS_health);
    }
    upstream_settings settings;
    settings.listen_ = read_endpoint("listen", FLAGS_listen);
    settings.node_ = read_endpoint("node", FLAGS_node);
    settings.service_ = FLAGS_service;
    settings.client_account_ = FLAGS_client_account;
    settings.slots_ = FLAGS_slots;
    settings.connections_ = FLAGS_connections;
    settings.service_time_ = milliseconds(FLAGS_service_ms);
    settings.service_jitter_ = milliseconds(FLAGS_jitter_ms);
    settings.cold_start_ = milliseconds(FLAGS_cold_start_ms);
    settings.cold_factor_ = FLAGS_cold_factor;
    settings.drain_linger_ = milliseconds(FLAGS_drain_linger_ms);
    settings.drain_limit_ = milliseconds(FLAGS_drain_limit_ms);
    settings.health_ = *health;
    settings.execution_log_ = FLAGS_execution_log;
    settings.outcome_log_ = FLAGS_outcome_log;
    return settings;
}

// Commands arrive on any thread and are executed on the server's thread. Once
// that thread has stopped, they time out.
http_response run_command(
    boost::asio::io_context& context,
    upstream_server& server,
    const http_request& request)
{
    auto task = std::make_shared<std::packaged_task<http_response()>>(
        [&server, request]
        {
            return handle_upstream_command(server, request);
        });
    auto answer = task->get_future();
    boost::asio::dispatch(
        context,
        [task]
        {
            (*task)();
        });
    if (answer.wait_for(command_timeout) != std::future_status::ready)
    {
        return error_response({error_kind::busy, "the stand-in has stopped"});
    }
    return answer.get();
}

void run()
{
    boost::asio::io_context context(1);
    upstream_server server(context, read_flags());
    std::optional<json_server> commands;
    if (!FLAGS_commands.empty())
    {
        commands.emplace(
            context, read_endpoint("commands", FLAGS_commands), 1,
            [&](const http_request& request, const std::string&)
            {
                return run_command(context, server, request);
            });
    }
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&server](const auto&, int)
        {
            server.drain(true);
        });
    context.run();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try
    {
        run();
    }
    catch (const std::exception& failure)
    {
        std::cerr << failure.what() << "\n";
        return 2;
    }
    return 0;
}
