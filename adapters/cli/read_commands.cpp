#include <chrono>
#include <iostream>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "adapters/cli/admin_client.hpp"
#include "adapters/cli/commands.hpp"
#include "adapters/cli/text_table.hpp"
#include "adapters/http/query_encoding.hpp"

namespace hemlockshelf {

namespace {

std::string utc_time(std::int64_t milliseconds)
{
    return fmt::format(
        "{:%Y-%m-%d %H:%M:%S}Z",
        fmt::gmtime(static_cast<std::time_t>(milliseconds / 1000)));
}

void print_rows(const nlohmann::json& rows)
{
    text_table table({"KEY", "ROW"});
    for (const auto& item : rows.items())
    {
        table.add_row({item.key(), item.value().dump()});
    }
    std::cout << table.to_string();
}

void print_entries(const nlohmann::json& entries)
{
    text_table table(
        {"REVISION", "TIME", "ACTOR", "ACCOUNT", "VM", "ROW", "BEFORE",
         "AFTER"});
    for (const auto& entry : entries)
    {
        for (const auto& edit : entry.at("edits"))
        {
            table.add_row(
                {entry.at("revision").dump(),
                 utc_time(entry.at("at_ms").get<std::int64_t>()),
                 entry.at("actor").get<std::string>(),
                 entry.at("client_account").get<std::string>(),
                 entry.at("vm").get<std::string>(),
                 fmt::format(
                     "{} {}", edit.at("table").get<std::string>(),
                     edit.at("key").get<std::string>()),
                 edit.at("before").dump(), edit.at("after").dump()});
        }
    }
    std::cout << table.to_string();
}

} // namespace

result<void> run_get(const cli_options& options, const cli_arguments& given)
{
    const auto answer =
        admin_client(options).get("/v1/rows?table=" + encode_query(given[0]));
    if (!answer)
    {
        return tl::unexpected<error>(answer.error());
    }
    auto rows = answer->at("rows");
    if (given.size() > 1)
    {
        if (!rows.contains(given[1]))
        {
            return make_error(
                error_kind::not_found,
                fmt::format("{} \"{}\": not found", given[0], given[1]));
        }
        rows = {{given[1], rows.at(given[1])}};
    }
    if (options.output_ == output_format::json)
    {
        std::cout << rows.dump() << "\n";
        return {};
    }
    print_rows(rows);
    return {};
}

result<void>
run_versions(const cli_options& options, const cli_arguments& given)
{
    auto path = "/v1/versions?table=" + encode_query(given[0]);
    if (given.size() > 1)
    {
        path += "&key=" + encode_query(given[1]);
    }
    const auto answer = admin_client(options).get(path);
    if (!answer)
    {
        return tl::unexpected<error>(answer.error());
    }
    const auto& rows = answer->at("rows");
    if (options.output_ == output_format::json)
    {
        std::cout << rows.dump() << "\n";
        return {};
    }
    text_table table({"KEY", "VERSION", "ROW"});
    for (const auto& row : rows)
    {
        table.add_row(
            {row.at("key").get<std::string>(), row.at("version").dump(),
             row.at("row").dump()});
    }
    std::cout << table.to_string();
    return {};
}

result<void> run_history(const cli_options& options, const cli_arguments& given)
{
    const auto after = given.empty() ? std::string("0") : given.front();
    const auto answer = admin_client(options).get(
        "/v1/audit?after_revision=" + encode_query(after));
    if (!answer)
    {
        return tl::unexpected<error>(answer.error());
    }
    const auto& entries = answer->at("entries");
    if (options.output_ == output_format::json)
    {
        std::cout << entries.dump() << "\n";
        return {};
    }
    print_entries(entries);
    return {};
}

result<void> run_explain(const cli_options& options, const cli_arguments& given)
{
    const auto answer = admin_client(options).get(fmt::format(
        "/v1/explain?account={}&host={}&path={}&method={}",
        encode_query(given[0]), encode_query(given[1]), encode_query(given[2]),
        encode_query(given.size() > 3 ? given[3] : "GET")));
    if (!answer)
    {
        return tl::unexpected<error>(answer.error());
    }
    const int indent = options.output_ == output_format::json ? -1 : 2;
    std::cout << answer->dump(indent) << "\n";
    return {};
}

} // namespace hemlockshelf
