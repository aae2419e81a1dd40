#include <algorithm>
#include <map>
#include <tuple>

#include <fmt/format.h>

#include "hemlockshelf/history/checkers.hpp"
#include "hemlockshelf/history/replay.hpp"

namespace hemlockshelf {

namespace {

bool references_absent_pool(
    const std::pair<table_id, row_key>& key,
    const nlohmann::json& row,
    const row_state& state)
{
    if (key.first != table_id::routes)
    {
        return false;
    }
    const row_key pool{row.value("pool", "")};
    return !state.contains({table_id::pools, pool});
}

bool contains_fields(const nlohmann::json& row, const nlohmann::json& fields)
{
    return std::ranges::all_of(
        fields.items(),
        [&row](const auto& field)
        {
            return row.contains(field.key()) &&
                   row.at(field.key()) == field.value();
        });
}

/// Compares the rows of a node with the expected ones, which may omit fields
/// that have defaults.
bool same_state(const row_state& reported, const row_state& expected)
{
    return reported.size() == expected.size() &&
           std::ranges::all_of(
               expected,
               [&reported](const auto& item)
               {
                   const auto row = reported.find(item.first);
                   return row != reported.end() &&
                          contains_fields(row->second, item.second);
               });
}

} // namespace

violations check_references(const run_history& history)
{
    violations found;
    for (const auto& [number, state] : replay(history.changes_))
    {
        for (const auto& [key, row] : state)
        {
            if (references_absent_pool(key, row, state))
            {
                found.push_back(fmt::format(
                    "revision {}: route {} refers to an absent pool",
                    number.value(), key.second.value()));
            }
        }
    }
    return found;
}

violations check_revisions_rise(const run_history& history)
{
    auto reports = history.revisions_;
    std::ranges::stable_sort(
        reports, {},
        [](const revision_report& report)
        {
            return report.at_;
        });
    violations found;
    std::map<std::pair<vm_id, std::uint64_t>, revision> highest;
    for (const auto& report : reports)
    {
        auto& held = highest[{report.vm_, report.process_}];
        if (report.revision_ < held)
        {
            found.push_back(fmt::format(
                "node {}: revision decreased from {} to {}", report.vm_.value(),
                held.value(), report.revision_.value()));
        }
        held = std::max(held, report.revision_);
    }
    return found;
}

violations check_in_force(const run_history& history)
{
    violations found;
    const auto states = replay(history.changes_);
    const auto last = states.rbegin()->first;
    for (const auto& report : history.rows_)
    {
        const auto expected = states.find(report.revision_);
        if (report.final_ && report.revision_ != last)
        {
            found.push_back(fmt::format(
                "node {}: final revision is {}, expected {}",
                report.vm_.value(), report.revision_.value(), last.value()));
            continue;
        }
        if (expected == states.end() ||
            !same_state(report.rows_, expected->second))
        {
            found.push_back(fmt::format(
                "node {}: its rows do not match revision {}",
                report.vm_.value(), report.revision_.value()));
        }
    }
    return found;
}

} // namespace hemlockshelf
