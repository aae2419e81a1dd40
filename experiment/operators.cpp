#include "experiment/operators.hpp"

#include <utility>

#include <fmt/format.h>

#include "experiment/wait.hpp"

namespace hemlockshelf {

namespace {

/// A small number of names makes conflicts frequent.
constexpr std::size_t contended_names = 3;
/// Longer than a node waits for the platform.
constexpr std::chrono::seconds edit_timeout{15};

std::vector<row_value> rows_of(const nlohmann::json& edits)
{
    std::vector<row_value> rows;
    for (const auto& edit : edits)
    {
        rows.push_back(
            {find_table(edit.at("table").get<std::string>())
                 .value_or(table_id::routes),
             row_key{edit.at("key").get<std::string>()},
             edit.value("row", nlohmann::json())});
    }
    return rows;
}

edit_result result_of(const json_answer& answer)
{
    if (answer.status_ == 200)
    {
        return edit_result::accepted;
    }
    // If there is no response, or a server error that does not rule it out,
    // the edit may have been committed.
    const bool refused = (answer.status_ >= 400 && answer.status_ < 500) ||
                         answer.error_ == "platform_unavailable" ||
                         answer.error_ == "unreachable" ||
                         answer.error_ == "not_ready" ||
                         answer.error_ == "busy";
    return refused ? edit_result::refused : edit_result::unknown;
}

nlohmann::json
edit(const char* table, const std::string& key, nlohmann::json row)
{
    return {{"table", table}, {"key", key}, {"row", std::move(row)}};
}

nlohmann::json random_edits(std::mt19937_64& random, const deployment& mesh)
{
    const auto& account = mesh.account_;
    const auto name = fmt::format("raced-{}", random() % contended_names);
    const auto key = account + "/" + name;
    const auto pool = edit(
        "pools", key,
        {{"service", mesh.services_[random() % mesh.services_.size()]},
         {"max_concurrent_calls", 50 + random() % 100}});
    const auto route =
        edit("routes", key, {{"host", name + "." + account}, {"pool", key}});
    switch (random() % 5)
    {
    case 0:
        return nlohmann::json::array({pool});
    case 1:
        return nlohmann::json::array({route});
    case 2:
        return nlohmann::json::array({edit("pools", key, nullptr)});
    case 3:
        return nlohmann::json::array({edit("routes", key, nullptr)});
    default:
        return nlohmann::json::array({pool, route});
    }
}

} // namespace

edit_record submit_edit(
    const cluster& mesh,
    std::size_t node,
    const std::string& change,
    const nlohmann::json& edits)
{
    edit_record record;
    record.id_ = change_id{change};
    record.rows_ = rows_of(edits);
    record.invoked_at_ = event_now();
    const auto answer = mesh.ask(
        node, boost::beast::http::verb::post, "/v1/edits",
        {{"change_id", change}, {"actor", "experiment"}, {"edits", edits}},
        edit_timeout);
    record.answered_at_ = event_now();
    record.result_ = result_of(answer);
    if (record.result_ == edit_result::accepted)
    {
        record.revision_ =
            revision{answer.body_.at("revision").get<std::uint64_t>()};
    }
    return record;
}

racing_operators::racing_operators(
    const cluster& mesh, operator_options options)
    : mesh_(mesh), options_(options)
{}

racing_operators::~racing_operators()
{
    stop();
}

void racing_operators::start()
{
    for (std::size_t number = 0; number < options_.count_; ++number)
    {
        threads_.emplace_back(
            [this, number]
            {
                run(number);
            });
    }
}

std::vector<edit_record> racing_operators::stop()
{
    stopping_ = true;
    for (auto& thread : threads_)
    {
        thread.join();
    }
    threads_.clear();
    return std::move(records_);
}

void racing_operators::run(std::size_t number)
{
    std::mt19937_64 random(options_.seed_ * 1000 + number);
    for (std::size_t round = 0; !stopping_; ++round)
    {
        const auto change = fmt::format("op{}-{}", number, round);
        const auto edits = random_edits(random, mesh_.options().deployment_);
        auto record =
            submit_edit(mesh_, random() % mesh_.size(), change, edits);
        {
            const std::lock_guard lock(mutex_);
            records_.push_back(std::move(record));
        }
        std::this_thread::sleep_for(options_.pause_);
    }
}

} // namespace hemlockshelf
