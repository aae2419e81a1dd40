#include "standins/platform/platform_handler.hpp"

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "adapters/http/json_server.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view tables_prefix = "/v1/tables/";
constexpr std::string_view objects_prefix = "/v1/objects/";
constexpr std::size_t default_scan_limit = 1000;

result<transaction> transaction_from_json(const nlohmann::json& json)
{
    try
    {
        transaction parsed;
        for (const auto& item : json.at("checks"))
        {
            parsed.checks_.push_back(
                {item.at("table").get<std::string>(),
                 item.at("key").get<std::string>(),
                 row_version{item.at("version").get<std::uint64_t>()}});
        }
        for (const auto& item : json.at("writes"))
        {
            parsed.writes_.push_back(
                {item.at("table").get<std::string>(),
                 item.at("key").get<std::string>(), item.at("value")});
        }
        return parsed;
    }
    catch (const nlohmann::json::exception& failure)
    {
        return make_error(error_kind::bad_request, failure.what());
    }
}

http_response transaction_response(const transaction_result& outcome)
{
    auto versions = nlohmann::json::array();
    for (const auto version : outcome.versions_)
    {
        versions.push_back(version.value());
    }
    auto conflicts = nlohmann::json::array();
    for (const auto& row : outcome.conflicts_)
    {
        conflicts.push_back(
            {{"table", row.table_},
             {"key", row.key_},
             {"version", row.version_.value()}});
    }
    return conflicts.empty()
               ? json_response(200, {{"versions", std::move(versions)}})
               : json_response(409, {{"conflicts", std::move(conflicts)}});
}

http_response commit(memory_tables& tables, const http_request& request)
{
    const auto json = parse_json(request.body());
    if (!json)
    {
        return error_response(json.error());
    }
    const auto writes = transaction_from_json(*json);
    if (!writes)
    {
        return error_response(writes.error());
    }
    return transaction_response(tables.execute(*writes));
}

http_response read_row(
    memory_tables& tables,
    const std::string& table,
    const http_request& request)
{
    const auto row = tables.read(table, query_parameter(request, "key"));
    if (!row->has_value())
    {
        return error_response({error_kind::not_found, "row: not found"});
    }
    return json_response(
        200,
        {{"version", (*row)->version_.value()}, {"value", (*row)->value_}});
}

http_response scan_rows(
    memory_tables& tables,
    const std::string& table,
    const http_request& request)
{
    scan_range range{
        table, query_parameter(request, "after"),
        query_parameter(request, "prefix"), default_scan_limit};
    const auto limit = query_parameter(request, "limit");
    std::from_chars(limit.data(), limit.data() + limit.size(), range.limit_);
    auto rows = nlohmann::json::array();
    const auto found = tables.scan(range);
    for (const auto& row : *found)
    {
        rows.push_back(
            {{"key", row.key_},
             {"version", row.version_.value()},
             {"value", row.value_}});
    }
    return json_response(200, {{"rows", std::move(rows)}});
}

http_response handle_object(
    memory_tables& tables, const std::string& name, const http_request& request)
{
    if (request.method() == http::verb::put)
    {
        static_cast<void>(tables.put(name, request.body()));
        return json_response(201, {{"stored", name}});
    }
    if (request.method() == http::verb::delete_)
    {
        static_cast<void>(tables.remove(name));
        return json_response(200, {{"removed", name}});
    }
    const auto content = tables.get(name);
    if (!content->has_value())
    {
        return error_response({error_kind::not_found, "object: not found"});
    }
    http_response response{http::status::ok, 11};
    response.body() = **content;
    response.prepare_payload();
    return response;
}

} // namespace

http_response
handle_platform_request(memory_tables& tables, const http_request& request)
{
    const auto path = target_path(request);
    if (path == "/v1/transactions" && request.method() == http::verb::post)
    {
        return commit(tables, request);
    }
    if (path.starts_with(objects_prefix))
    {
        return handle_object(
            tables, path.substr(objects_prefix.size()), request);
    }
    const auto slash = path.rfind('/');
    if (path.starts_with(tables_prefix) && slash >= tables_prefix.size())
    {
        const auto table =
            path.substr(tables_prefix.size(), slash - tables_prefix.size());
        if (path.ends_with("/rows"))
        {
            return read_row(tables, table, request);
        }
        if (path.ends_with("/scan"))
        {
            return scan_rows(tables, table, request);
        }
    }
    return error_response(
        {error_kind::not_found, "path: not part of the platform's protocol"});
}

} // namespace hemlockshelf
