#include "adapters/node/admin_handler.hpp"

#include <charconv>
#include <cstdint>
#include <string_view>

#include <spdlog/spdlog.h>

#include "adapters/http/json_server.hpp"
#include "adapters/node/operator_tokens.hpp"
#include "adapters/telemetry/event_log.hpp"
#include "hemlockshelf/config/row_codec.hpp"
#include "hemlockshelf/editing/config_reader.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t audit_page_size = 1000;

result<client_account_id>
operator_account(const admin_context& context, const http_request& request)
{
    const auto header = request[http::field::authorization];
    return authenticate(
        context.settings_->token_hashes_, {header.data(), header.size()});
}

http_response show_status(const admin_context& context)
{
    const auto snapshot = context.snapshots_->current();
    return json_response(
        200, {{"vm", context.settings_->vm_.value()},
              {"failure_domain", context.settings_->failure_domain_.value()},
              {"region", context.settings_->region_.value()},
              {"state", "serving"},
              {"revision", snapshot->number().value()},
              {"hash", snapshot->tables().hash_.to_string()}});
}

http_response
submit_edit(const admin_context& context, const http_request& request)
{
    const auto account = operator_account(context, request);
    if (!account)
    {
        return error_response(account.error());
    }
    const auto json = parse_json(request.body());
    if (!json)
    {
        return error_response(json.error());
    }
    const auto edit = edit_request_from_json(*json, *account);
    if (!edit)
    {
        return error_response(edit.error());
    }
    const auto outcome = context.editor_->submit(*edit);
    if (!outcome)
    {
        return error_response(outcome.error());
    }
    return json_response(
        200, {{"revision", outcome->revision_.value()},
              {"change_id", outcome->id_.value()}});
}

http_response
find_edit(const admin_context& context, const http_request& request)
{
    const auto outcome =
        context.editor_->find(change_id{query_parameter(request, "change_id")});
    if (!outcome)
    {
        return error_response(outcome.error());
    }
    return json_response(
        200, {{"revision", outcome->revision_.value()},
              {"change_id", outcome->id_.value()}});
}

http_response
show_rows(const admin_context& context, const http_request& request)
{
    const auto snapshot = context.snapshots_->current();
    const auto table = find_table(query_parameter(request, "table"));
    if (!table)
    {
        return error_response(
            {error_kind::bad_request,
             "parameter \"table\": expected routes or pools"});
    }
    auto rows = nlohmann::json::object();
    if (*table == table_id::routes)
    {
        for (const auto& [key, row] : snapshot->tables().routes_)
        {
            rows[key.value()] = to_json(*row);
        }
    }
    else
    {
        for (const auto& [key, row] : snapshot->tables().pools_)
        {
            rows[key.value()] = to_json(*row);
        }
    }
    return json_response(
        200,
        {{"revision", snapshot->number().value()}, {"rows", std::move(rows)}});
}

http_response
show_audit(const admin_context& context, const http_request& request)
{
    const auto account = operator_account(context, request);
    if (!account)
    {
        return error_response(account.error());
    }
    const auto after = query_parameter(request, "after_revision");
    std::uint64_t from = 0;
    std::from_chars(after.data(), after.data() + after.size(), from);
    const auto records =
        read_changes(*context.tables_, revision{from}, audit_page_size);
    if (!records)
    {
        return error_response(records.error());
    }
    auto entries = nlohmann::json::array();
    for (const auto& record : *records)
    {
        if (record.audit_.account_ != *account)
        {
            continue;
        }
        auto entry = to_json(record.audit_);
        entry["revision"] = record.delta_.to_.value();
        entry["change_id"] = record.id_.value();
        entries.push_back(std::move(entry));
    }
    return json_response(200, {{"entries", std::move(entries)}});
}

http_response show_metrics(const admin_context& context)
{
    http_response response{http::status::ok, 11};
    response.set(
        http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
    response.body() = context.metrics_->to_text();
    response.prepare_payload();
    return response;
}

http_response
set_log_level(const admin_context& context, const http_request& request)
{
    const auto account = operator_account(context, request);
    if (!account)
    {
        return error_response(account.error());
    }
    const auto level = parse_log_level(query_parameter(request, "level"));
    if (!level)
    {
        return error_response(level.error());
    }
    spdlog::set_level(*level);
    log_event(
        spdlog::level::info, "log_level_changed",
        {{"level", query_parameter(request, "level")},
         {"client_account", account->value()}});
    return json_response(200, {{"level", query_parameter(request, "level")}});
}

http_response announce(
    const admin_context& context,
    const http_request& request,
    const std::string& peer)
{
    if (!peer.starts_with("127."))
    {
        return error_response(
            {error_kind::forbidden,
             "announcement: accepted from the node's own VM only"});
    }
    const auto json = parse_json(request.body());
    if (!json)
    {
        return error_response(json.error());
    }
    const auto announcement = announcement_from_json(*json);
    if (!announcement)
    {
        return error_response(announcement.error());
    }
    context.upstream_->announce(*announcement);
    return json_response(200, {{"accepted", true}});
}

} // namespace

http_response handle_admin_request(
    const admin_context& context,
    const http_request& request,
    const std::string& peer)
{
    const auto path = path_of(request);
    const bool is_get = request.method() == http::verb::get;
    const bool is_post = request.method() == http::verb::post;
    if (is_get && path == "/v1/status")
    {
        return show_status(context);
    }
    if (is_post && path == "/v1/edits")
    {
        return submit_edit(context, request);
    }
    if (is_get && path == "/v1/edits")
    {
        return find_edit(context, request);
    }
    if (is_get && path == "/v1/rows")
    {
        return show_rows(context, request);
    }
    if (is_get && path == "/v1/audit")
    {
        return show_audit(context, request);
    }
    if (is_get && path == "/metrics")
    {
        return show_metrics(context);
    }
    if (request.method() == http::verb::put && path == "/v1/log_level")
    {
        return set_log_level(context, request);
    }
    if (is_post && path == "/v1/announce")
    {
        return announce(context, request, peer);
    }
    return error_response(
        {error_kind::not_found, "path: not part of the admin interface"});
}

} // namespace hemlockshelf
