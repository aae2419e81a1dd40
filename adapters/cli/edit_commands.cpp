#include <iostream>
#include <random>
#include <utility>

#include <fmt/format.h>

#include "adapters/cli/admin_client.hpp"
#include "adapters/cli/commands.hpp"
#include "adapters/cli/rows_file.hpp"
#include "adapters/cli/text_table.hpp"
#include "adapters/http/query_encoding.hpp"

namespace hemlockshelf {

namespace {

std::string random_change_id()
{
    std::random_device source;
    std::string id;
    for (int word = 0; word < 4; ++word)
    {
        id += fmt::format("{:08x}", source());
    }
    return id;
}

result<nlohmann::json>
submit(const cli_options& options, const nlohmann::json& edits)
{
    const auto id =
        options.change_id_.empty() ? random_change_id() : options.change_id_;
    const nlohmann::json body{
        {"change_id", id},
        {"actor", options.actor_},
        {"dry_run", options.dry_run_},
        {"edits", edits}};
    auto answer = admin_client(options).post("/v1/edits", body);
    if (!answer && answer.error().kind_ == error_kind::outcome_unknown)
    {
        return make_error(
            error_kind::outcome_unknown,
            fmt::format(
                "{}; ask later with: hemlockshelf outcome {}",
                answer.error().message_, id));
    }
    return answer;
}

/// Returns the row as the node holds it, or null.
result<nlohmann::json>
current_row(const admin_client& client, const nlohmann::json& edit)
{
    const auto rows =
        client.get("/v1/rows?table=" + edit.at("table").get<std::string>());
    if (!rows)
    {
        return tl::unexpected<error>(rows.error());
    }
    const auto key = edit.at("key").get<std::string>();
    return rows->at("rows").value(key, nlohmann::json{});
}

result<void> print_plan(const cli_options& options, const nlohmann::json& edits)
{
    const admin_client client(options);
    text_table table({"TABLE", "KEY", "CHANGE", "BEFORE", "AFTER"});
    for (const auto& edit : edits)
    {
        const auto before = current_row(client, edit);
        if (!before)
        {
            return tl::unexpected<error>(before.error());
        }
        const auto& after = edit.at("row");
        const auto* change = before->is_null() ? "create"
                             : after.is_null() ? "delete"
                                               : "update";
        table.add_row(
            {edit.at("table").get<std::string>(),
             edit.at("key").get<std::string>(), change, before->dump(),
             after.dump()});
    }
    std::cout << table.to_string();
    return {};
}

result<void>
submit_and_print(const cli_options& options, const nlohmann::json& edits)
{
    const auto answer = submit(options, edits);
    if (!answer)
    {
        return tl::unexpected<error>(answer.error());
    }
    if (options.output_ == output_format::json)
    {
        std::cout << answer->dump() << "\n";
        return {};
    }
    if (options.dry_run_)
    {
        return print_plan(options, edits);
    }
    std::cout << fmt::format(
        "accepted at revision {} (change id {})\n",
        answer->at("revision").get<std::uint64_t>(),
        answer->at("change_id").get<std::string>());
    return {};
}

} // namespace

result<void> run_apply(const cli_options& options, const cli_arguments& given)
{
    const auto edits = load_rows_file(given.front());
    if (!edits)
    {
        return tl::unexpected<error>(edits.error());
    }
    return submit_and_print(options, *edits);
}

result<void> run_delete(const cli_options& options, const cli_arguments& given)
{
    const nlohmann::json edit{
        {"table", given[0]}, {"key", given[1]}, {"row", nullptr}};
    return submit_and_print(options, nlohmann::json::array({edit}));
}

result<void> run_outcome(const cli_options& options, const cli_arguments& given)
{
    const auto answer = admin_client(options).get(
        "/v1/edits?change_id=" + encode_query(given.front()));
    if (!answer)
    {
        return tl::unexpected<error>(answer.error());
    }
    if (options.output_ == output_format::json)
    {
        std::cout << answer->dump() << "\n";
        return {};
    }
    std::cout << fmt::format(
        "accepted at revision {}\n",
        answer->at("revision").get<std::uint64_t>());
    return {};
}

} // namespace hemlockshelf
