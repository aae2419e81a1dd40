#include "standins/upstream/command_handler.hpp"

#include <string>

#include <nlohmann/json.hpp>

#include "adapters/http/json_server.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

bool reports_healthy(const upstream_state& state)
{
    switch (state.settings_.health_)
    {
    case health_mode::always_ok:
        return true;
    case health_mode::always_failing:
        return false;
    case health_mode::truthful:
        break;
    }
    return !state.draining_ && state.running_ < state.settings_.slots_;
}

http_response health_answer(const upstream_state& state)
{
    const bool healthy = reports_healthy(state);
    const nlohmann::json body{{"healthy", healthy}};
    return json_response(healthy ? 200 : 503, body);
}

http_response counters_answer(const upstream_state& state)
{
    const auto& counters = state.counters_;
    const nlohmann::json body{
        {"state", state.draining_ ? "draining" : "ready"},
        {"running", state.running_},
        {"connections", state.connections_},
        {"completed", counters.completed_},
        {"cancelled", counters.cancelled_},
        {"shed", counters.shed_},
        {"connections_refused", counters.connections_refused_},
        {"most_running", counters.most_running_},
        {"most_connections", counters.most_connections_}};
    return json_response(200, body);
}

} // namespace

http_response
handle_upstream_command(upstream_server& server, const http_request& request)
{
    const auto path = target_path(request);
    if (request.method() == http::verb::post && path == "/v1/drain")
    {
        server.drain(query_parameter(request, "stop") == "true");
        return counters_answer(server.state());
    }
    if (request.method() == http::verb::post && path == "/v1/resume")
    {
        server.resume();
        return counters_answer(server.state());
    }
    if (request.method() == http::verb::get && path == "/v1/health")
    {
        return health_answer(server.state());
    }
    if (request.method() == http::verb::get && path == "/v1/counters")
    {
        return counters_answer(server.state());
    }
    return error_response({error_kind::not_found, path + ": unknown command"});
}

} // namespace hemlockshelf
