// Member functions of `cluster` that query its processes.

#include <filesystem>
#include <fstream>

#include <fmt/format.h>

#include "experiment/cluster.hpp"
#include "experiment/wait.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds platform_timeout{10};
constexpr std::size_t scan_page_size = 500;

row_value row_from_json(const nlohmann::json& json)
{
    return {
        find_table(json.at("table").get<std::string>())
            .value_or(table_id::routes),
        row_key{json.at("key").get<std::string>()},
        json.value("row", nlohmann::json())};
}

committed_change change_from_json(const nlohmann::json& json)
{
    committed_change change{
        revision{json.at("revision").get<std::uint64_t>()},
        change_id{json.at("change_id").get<std::string>()},
        {}};
    const auto& delta = json.at("delta");
    for (const auto* list : {"upserts", "deletes"})
    {
        for (const auto& item : delta.value(list, nlohmann::json::array()))
        {
            change.rows_.push_back(row_from_json(item));
        }
    }
    return change;
}

void read_executions(
    const std::filesystem::path& path, std::vector<execution_record>& records)
{
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);)
    {
        const auto json = nlohmann::json::parse(line, nullptr, false);
        if (!json.is_object())
        {
            continue;
        }
        records.push_back(
            {request_id{json.at("request_id").get<std::string>()},
             json.at("upstream").get<std::string>(),
             event_time{json.at("at_us").get<std::int64_t>()}});
    }
}

bool add_rows(const json_answer& answer, table_id table, rows_report& report)
{
    if (answer.status_ != 200 || !answer.body_.contains("rows"))
    {
        return false;
    }
    for (const auto& [key, row] : answer.body_.at("rows").items())
    {
        report.rows_[{table, row_key{key}}] = row;
    }
    return true;
}

} // namespace

json_answer cluster::ask(
    std::size_t index,
    http::verb method,
    const std::string& path,
    const nlohmann::json& body,
    std::chrono::milliseconds timeout) const
{
    return send(
        {places_.at(index).admin_, method, path, body,
         options_.deployment_.token_, timeout});
}

std::optional<revision> cluster::node_revision(std::size_t index) const
{
    const auto answer = ask(index, http::verb::get, "/v1/status");
    if (answer.status_ != 200 || !answer.body_.contains("revision"))
    {
        return std::nullopt;
    }
    return revision{answer.body_.at("revision").get<std::uint64_t>()};
}

std::vector<std::string> cluster::wait_for_revision(
    revision number, std::chrono::milliseconds timeout) const
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    std::vector<std::string> behind;
    for (std::size_t index = 0; index < size(); ++index)
    {
        if (!node_is_up(index))
        {
            continue;
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            until - std::chrono::steady_clock::now());
        std::optional<revision> held;
        const bool reached = wait_until(
            left,
            [this, index, number, &held]
            {
                held = node_revision(index);
                return held && *held >= number;
            });
        if (!reached)
        {
            behind.push_back(fmt::format(
                "{}: {}, expected revision {}", places_[index].vm_,
                held ? fmt::format("runs revision {}", held->value())
                     : std::string("does not answer"),
                number.value()));
        }
    }
    return behind;
}

bool cluster::set_platform_fault(const nlohmann::json& fault) const
{
    const auto answer = send(
        {platform_endpoint(block_),
         http::verb::post,
         "/v1/faults",
         fault,
         {},
         platform_timeout});
    return answer.status_ == 200;
}

bool cluster::set_link_fault(const nlohmann::json& fault) const
{
    const auto answer = send(
        {link_endpoint(block_),
         http::verb::post,
         "/v1/faults",
         fault,
         {},
         platform_timeout});
    return answer.status_ == 200;
}

nlohmann::json cluster::link_counters() const
{
    const json_call call{
        link_endpoint(block_), http::verb::get, "/v1/counters", nullptr, {}};
    return send(call).body_;
}

nlohmann::json cluster::platform_counters() const
{
    const json_call call{
        platform_endpoint(block_),
        http::verb::get,
        "/v1/counters",
        nullptr,
        {}};
    return send(call).body_;
}

std::vector<committed_change> cluster::committed_changes() const
{
    std::vector<committed_change> changes;
    std::string after;
    while (true)
    {
        const auto answer = send(
            {platform_endpoint(block_),
             http::verb::get,
             fmt::format(
                 "/v1/tables/changes/scan?after={}&limit={}", after,
                 scan_page_size),
             nullptr,
             {},
             platform_timeout});
        if (answer.status_ != 200 || answer.body_.at("rows").empty())
        {
            return changes;
        }
        for (const auto& row : answer.body_.at("rows"))
        {
            after = row.at("key").get<std::string>();
            changes.push_back(change_from_json(row.at("value")));
        }
    }
}

std::vector<execution_record> cluster::executions() const
{
    std::vector<execution_record> records;
    for (const auto& entry : std::filesystem::directory_iterator(folder_))
    {
        if (entry.path().extension() == ".executions")
        {
            read_executions(entry.path(), records);
        }
    }
    return records;
}

std::optional<rows_report> cluster::node_rows(std::size_t index) const
{
    rows_report report{vm_id{places_.at(index).vm_}, {}, {}, false};
    const auto routes = ask(index, http::verb::get, "/v1/rows?table=routes");
    const auto pools = ask(index, http::verb::get, "/v1/rows?table=pools");
    if (!add_rows(routes, table_id::routes, report) ||
        !add_rows(pools, table_id::pools, report))
    {
        return std::nullopt;
    }
    // If the revision changed between the two reads, the tables would be
    // inconsistent.
    if (routes.body_.at("revision") != pools.body_.at("revision"))
    {
        return std::nullopt;
    }
    report.revision_ =
        revision{routes.body_.at("revision").get<std::uint64_t>()};
    return report;
}

} // namespace hemlockshelf
