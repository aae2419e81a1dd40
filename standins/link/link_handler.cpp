#include "standins/link/link_handler.hpp"

#include "adapters/http/json_server.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

result<link_rule> rule_from_json(const nlohmann::json& json)
{
    try
    {
        const auto mode = find_link_mode(json.value("mode", ""));
        return link_rule{
            mode.value_or(link_mode::silent), json.value("from", "*"),
            json.value("to", "*"), json.value("both", true)};
    }
    catch (const nlohmann::json::exception& failure)
    {
        return make_error(error_kind::bad_request, failure.what());
    }
}

http_response set_fault(relay& links, const http_request& request)
{
    const auto json = parse_json(request.body());
    const auto rule = json ? rule_from_json(*json)
                           : result<link_rule>(tl::unexpected(json.error()));
    if (!rule)
    {
        return error_response(rule.error());
    }
    const auto mode = json->value("mode", "");
    if (find_link_mode(mode))
    {
        links.add_rule(*rule);
        return json_response(200, {{"mode", mode}});
    }
    if (mode == "silent_open")
    {
        links.silence_open(*rule);
        return json_response(200, {{"mode", mode}});
    }
    return error_response(
        {error_kind::bad_request,
         "field \"mode\": expected ok, cut, silent or silent_open"});
}

http_response show_counters(const relay& links)
{
    auto pairs = nlohmann::json::array();
    for (const auto& [key, counter] : links.network().counters())
    {
        const auto& [kind, from, to] = key;
        pairs.push_back(
            {{"kind", kind},
             {"from", from},
             {"to", to},
             {"from_region", links.network().location_of(from).region_},
             {"to_region", links.network().location_of(to).region_},
             {"bytes", counter.bytes_},
             {"dropped_bytes", counter.dropped_bytes_},
             {"connections", counter.connections_}});
    }
    return json_response(200, {{"pairs", std::move(pairs)}});
}

} // namespace

http_response handle_link_request(relay& links, const http_request& request)
{
    const auto path = target_path(request);
    if (path == "/v1/faults" && request.method() == http::verb::post)
    {
        return set_fault(links, request);
    }
    if (path == "/v1/counters" && request.method() == http::verb::get)
    {
        return show_counters(links);
    }
    return error_response(
        {error_kind::not_found, "path: expected /v1/faults or /v1/counters"});
}

} // namespace hemlockshelf
