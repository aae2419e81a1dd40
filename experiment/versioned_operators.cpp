#include "experiment/versioned_operators.hpp"

#include <algorithm>
#include <future>
#include <numeric>
#include <utility>

#include <fmt/format.h>

#include "experiment/operators.hpp"

namespace hemlockshelf {

namespace {

constexpr std::chrono::milliseconds round_pause{100};
/// Reads wait for the platform, which may be slow.
constexpr std::chrono::seconds read_timeout{5};
/// On average, one in this many rounds has an edit without `expected_version`,
/// and one in this many edits deletes the row.
constexpr std::size_t rare_case_interval = 4;

row_key contended_key(const cluster& mesh)
{
    return row_key{mesh.options().deployment_.account_ + "/versioned"};
}

std::vector<std::size_t>
shuffled_nodes(const cluster& mesh, std::mt19937_64& random)
{
    std::vector<std::size_t> nodes(mesh.size());
    std::iota(nodes.begin(), nodes.end(), 0);
    std::ranges::shuffle(nodes, random);
    return nodes;
}

} // namespace

versioned_operators::versioned_operators(
    const cluster& mesh, std::size_t count, std::uint64_t seed)
    : mesh_(mesh), count_(count), random_(seed)
{}

versioned_operators::~versioned_operators()
{
    stop();
}

void versioned_operators::start()
{
    if (count_ == 0)
    {
        return;
    }
    thread_ = std::thread(
        [this]
        {
            run();
        });
}

std::vector<edit_record> versioned_operators::stop()
{
    stopping_ = true;
    if (thread_.joinable())
    {
        thread_.join();
    }
    return std::move(records_);
}

void versioned_operators::run()
{
    while (!stopping_)
    {
        if (const auto row = read_row(random_() % mesh_.size()))
        {
            race(*row);
        }
        std::this_thread::sleep_for(round_pause);
    }
}

std::optional<expected_row>
versioned_operators::read_row(std::size_t node) const
{
    const auto key = contended_key(mesh_);
    const auto answer = mesh_.ask(
        node, boost::beast::http::verb::get,
        "/v1/versions?table=pools&key=" + key.value(), nullptr, read_timeout);
    if (answer.status_ == 404)
    {
        return expected_row{table_id::pools, key, 0, nullptr};
    }
    if (answer.status_ != 200)
    {
        return std::nullopt;
    }
    const auto& row = answer.body_.at("rows").at(0);
    return expected_row{
        table_id::pools, key, row.at("version").get<std::uint64_t>(),
        row.at("row")};
}

void versioned_operators::race(const expected_row& expected)
{
    const auto nodes = shuffled_nodes(mesh_, random_);
    const std::size_t unconditional =
        random_() % rare_case_interval == 0 ? 1 : 0;
    const auto participants = std::min(count_ + unconditional, nodes.size());
    std::vector<std::future<edit_record>> pending;
    for (std::size_t participant = 0; participant < participants; ++participant)
    {
        nlohmann::json edit{
            {"table", "pools"},
            {"key", expected.key_.value()},
            {"row", next_row(expected)}};
        const bool is_unconditional = participant >= count_;
        if (!is_unconditional)
        {
            edit["expected_version"] = expected.version_;
        }
        pending.push_back(std::async(
            std::launch::async,
            [this, node = nodes[participant], expected, is_unconditional,
             change = fmt::format("versioned-{}", ++edits_),
             edits = nlohmann::json::array({std::move(edit)})]
            {
                auto record = submit_edit(mesh_, node, change, edits);
                if (!is_unconditional)
                {
                    record.expected_.push_back(expected);
                }
                return record;
            }));
    }
    for (auto& record : pending)
    {
        records_.push_back(record.get());
    }
}

/// Returns a row that differs from all others, so that its content identifies
/// the edit that wrote it.
nlohmann::json versioned_operators::next_row(const expected_row& expected)
{
    if (expected.version_ != 0 && random_() % rare_case_interval == 0)
    {
        return nullptr;
    }
    return {
        {"service", mesh_.options().deployment_.services_.front()},
        {"max_concurrent_calls", 1 + edits_}};
}

} // namespace hemlockshelf
