#include "node/edit_handlers.hpp"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "adapters/http/json_server.hpp"
#include "hemlockshelf/config/row_codec.hpp"
#include "hemlockshelf/editing/change_archive.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t max_page_size = 1000;

result<std::uint64_t> number_parameter(
    const http_request& request, std::string_view name, std::uint64_t fallback)
{
    const auto text = query_parameter(request, name);
    if (text.empty())
    {
        return fallback;
    }
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return make_error(
            error_kind::bad_request,
            fmt::format(
                "parameter \"{}\": expected a whole number, given \"{}\"", name,
                text));
    }
    return value;
}

result<std::size_t> page_size(const http_request& request)
{
    return number_parameter(request, "limit", max_page_size)
        .map(
            [](std::uint64_t limit)
            {
                return static_cast<std::size_t>(
                    std::clamp(limit, std::uint64_t{1}, max_page_size));
            });
}

result<table_id> table_parameter(const http_request& request)
{
    const auto name = query_parameter(request, "table");
    const auto table = find_table(name);
    if (!table)
    {
        return make_error(
            error_kind::bad_request,
            fmt::format(
                "parameter \"table\": expected routes, pools or accounts, "
                "given \"{}\"",
                name));
    }
    return *table;
}

http_response outcome_response(const result<edit_outcome>& outcome)
{
    if (!outcome)
    {
        return error_response(outcome.error());
    }
    return json_response(
        200, {{"revision", outcome->revision_.value()},
              {"change_id", outcome->id_.value()}});
}

http_response
submit_edit(const admin_context& context, const http_request& request)
{
    const auto account = authenticate_operator(context, request);
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
    return outcome_response(context.editor_->submit(*edit));
}

http_response
find_edit(const admin_context& context, const http_request& request)
{
    const auto id = query_parameter(request, "change_id");
    if (id.empty())
    {
        return error_response(
            {error_kind::bad_request,
             "parameter \"change_id\": expected text, given nothing"});
    }
    return outcome_response(context.editor_->find(change_id{id}));
}

template <class Rows>
nlohmann::json rows_to_json(const Rows& rows)
{
    auto json = nlohmann::json::object();
    for (const auto& [key, row] : rows)
    {
        json[key.value()] = to_json(*row);
    }
    return json;
}

nlohmann::json rows_of_table(const config_tables& tables, table_id table)
{
    switch (table)
    {
    case table_id::routes:
        return rows_to_json(tables.routes_);
    case table_id::pools:
        return rows_to_json(tables.pools_);
    case table_id::accounts:
        return rows_to_json(tables.accounts_);
    }
    return {};
}

http_response
show_rows(const admin_context& context, const http_request& request)
{
    const auto table = table_parameter(request);
    if (!table)
    {
        return error_response(table.error());
    }
    const auto snapshot = context.snapshots_->current();
    auto rows = rows_of_table(snapshot->tables(), *table);
    return json_response(
        200,
        {{"revision", snapshot->number().value()}, {"rows", std::move(rows)}});
}

http_response versions_response(const std::vector<stored_row>& found)
{
    auto rows = nlohmann::json::array();
    for (const auto& row : found)
    {
        rows.push_back(
            {{"key", row.key_},
             {"version", row.version_.value()},
             {"row", row.value_}});
    }
    return json_response(200, {{"rows", std::move(rows)}});
}

http_response show_version(
    const admin_context& context,
    const client_account_id& account,
    const std::string& table,
    const std::string& key)
{
    if (account_of(row_key{key}) != account)
    {
        return error_response(
            {error_kind::forbidden,
             fmt::format(
                 "row \"{}\": the account \"{}\" can only read the "
                 "versions of its own rows",
                 key, account.value())});
    }
    const auto row = context.tables_->read(table, key);
    if (!row)
    {
        return error_response(row.error());
    }
    if (!row->has_value())
    {
        return error_response(
            {error_kind::not_found,
             fmt::format("row \"{}\" of \"{}\": not found", key, table)});
    }
    return versions_response({**row});
}

http_response
show_versions(const admin_context& context, const http_request& request)
{
    const auto account = authenticate_operator(context, request);
    if (!account)
    {
        return error_response(account.error());
    }
    const auto table = table_parameter(request);
    if (!table)
    {
        return error_response(table.error());
    }
    const std::string name(to_string(*table));
    const auto key = query_parameter(request, "key");
    if (!key.empty())
    {
        return show_version(context, *account, name, key);
    }
    const auto limit = page_size(request);
    if (!limit)
    {
        return error_response(limit.error());
    }
    // Start at the account's first key, so that the platform does not scan the
    // rows of other accounts.
    const auto prefix = account->value() + "/";
    const auto after = std::max(query_parameter(request, "after"), prefix);
    const auto rows = context.tables_->scan({name, after, prefix, *limit});
    return rows ? versions_response(*rows) : error_response(rows.error());
}

nlohmann::json audit_to_json(const change_record& record)
{
    auto entry = to_json(record.audit_);
    entry["revision"] = record.delta_.to_.value();
    entry["change_id"] = record.id_.value();
    return entry;
}

http_response
show_audit(const admin_context& context, const http_request& request)
{
    const auto account = authenticate_operator(context, request);
    if (!account)
    {
        return error_response(account.error());
    }
    const auto after = number_parameter(request, "after_revision", 0);
    const auto limit = page_size(request);
    if (!after || !limit)
    {
        return error_response(after ? limit.error() : after.error());
    }
    const auto records = read_history(
        *context.tables_, *context.objects_, revision{*after}, *limit);
    if (!records)
    {
        return error_response(records.error());
    }
    auto entries = nlohmann::json::array();
    for (const auto& record : *records)
    {
        if (record.audit_.account_ == *account)
        {
            entries.push_back(audit_to_json(record));
        }
    }
    // A page covers revisions of all accounts, so it may contain fewer entries
    // than its limit. The next page starts after `last_revision`.
    const auto last =
        records->empty() ? *after : records->back().delta_.to_.value();
    return json_response(
        200, {{"entries", std::move(entries)}, {"last_revision", last}});
}

http_response refuse_edit()
{
    return error_response(
        {error_kind::forbidden,
         "edit: operators publish whole configurations on this platform"});
}

} // namespace

std::optional<http_response>
handle_edit_request(const admin_context& context, const http_request& request)
{
    const auto path = target_path(request);
    if (request.method() == http::verb::post)
    {
        return path == "/v1/edits" ? std::optional(
                                         context.editor_ == nullptr
                                             ? refuse_edit()
                                             : submit_edit(context, request))
                                   : std::nullopt;
    }
    if (request.method() != http::verb::get)
    {
        return std::nullopt;
    }
    if (path == "/v1/edits")
    {
        return context.editor_ == nullptr ? refuse_edit()
                                          : find_edit(context, request);
    }
    if (path == "/v1/rows")
    {
        return show_rows(context, request);
    }
    if (path == "/v1/versions")
    {
        return show_versions(context, request);
    }
    if (path == "/v1/audit")
    {
        return show_audit(context, request);
    }
    return std::nullopt;
}

} // namespace hemlockshelf
