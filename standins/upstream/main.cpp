// Stand-in for an upstream: announces itself to its node and serves requests.

#include <chrono>
#include <iostream>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>

#include "adapters/http/call_server.hpp"
#include "adapters/http/http_client.hpp"
#include "adapters/http/json_server.hpp"
#include "standins/upstream/answer.hpp"
#include "standins/upstream/execution_log.hpp"

DEFINE_string(listen, "127.0.0.1:7005", "address and port to listen on");
DEFINE_string(node, "127.0.0.1:7004", "admin address of the node");
DEFINE_string(service, "catalogue", "service to announce");
DEFINE_string(client_account, "regie", "client account of the service");
DEFINE_uint32(slots, 20, "requests that can run at once");
DEFINE_uint32(connections, 110, "connections that are accepted");
DEFINE_string(execution_log, "", "file that gets a line per executed request");

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::chrono::seconds announce_interval{1};

asio::awaitable<void> announce(const hemlockshelf::endpoint& node)
{
    const nlohmann::json body{{"service", FLAGS_service},
                              {"client_account", FLAGS_client_account},
                              {"address", FLAGS_listen},
                              {"slots", FLAGS_slots},
                              {"connections", FLAGS_connections},
                              {"state", "ready"}};
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true)
    {
        const hemlockshelf::http_target target{node, {}, announce_interval};
        auto request = hemlockshelf::make_request(
            http::verb::post, "/v1/announce", body.dump());
        co_await hemlockshelf::async_exchange(target, std::move(request));
        timer.expires_after(announce_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<hemlockshelf::http_response>
serve(hemlockshelf::execution_log& log, hemlockshelf::http_request request)
{
    log.record(hemlockshelf::request_id_of(request), FLAGS_listen);
    const auto work = hemlockshelf::work_of(request);
    if (work.count() > 0)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, work);
        co_await timer.async_wait(asio::use_awaitable);
    }
    auto body = hemlockshelf::answer_fields(request);
    body["service"] = FLAGS_service;
    body["upstream"] = FLAGS_listen;
    body["target"] = std::string(request.target());
    co_return hemlockshelf::json_response(200, body);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto where = hemlockshelf::parse_endpoint(FLAGS_listen);
    const auto node = hemlockshelf::parse_endpoint(FLAGS_node);
    if (!where || !node)
    {
        std::cerr << "--listen and --node: expected <IPv4 address>:<port>\n";
        return 2;
    }
    asio::io_context context;
    hemlockshelf::execution_log log(FLAGS_execution_log);
    hemlockshelf::call_server server(
        context, *where,
        [&log](hemlockshelf::http_request request)
        {
            return serve(log, std::move(request));
        });
    asio::co_spawn(context, announce(*node), asio::detached);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&context](const auto&, int)
        {
            context.stop();
        });
    context.run();
    return 0;
}
