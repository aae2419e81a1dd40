#include "test/editing/audit_checker.hpp"

#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/config/row_codec.hpp"
#include "hemlockshelf/editing/config_reader.hpp"
#include "hemlockshelf/history/replay.hpp"

namespace hemlockshelf {

namespace {

using row_id = std::pair<table_id, row_key>;

nlohmann::json row_to_json(const row_change& change)
{
    if (const auto* route = std::get_if<route_row>(&change.row_))
    {
        return to_json(*route);
    }
    if (const auto* pool = std::get_if<pool_row>(&change.row_))
    {
        return to_json(*pool);
    }
    return {};
}

row_state changed_rows(const change_record& record)
{
    row_state rows;
    for (const auto& change : record.delta_.changes_)
    {
        rows[{change.table_, change.key_}] = row_to_json(change);
    }
    return rows;
}

nlohmann::json find_row_json(const row_state& state, const row_id& id)
{
    const auto found = state.find(id);
    return found == state.end() ? nlohmann::json{} : found->second;
}

void check_record(
    const change_record& record,
    const row_state& before,
    std::vector<std::string>& found)
{
    row_state audited;
    for (const auto& row : record.audit_.rows_)
    {
        const row_id id{row.table_, row.key_};
        audited[id] = row.after_;
        if (row.before_ != find_row_json(before, id))
        {
            found.push_back(fmt::format(
                "revision {}: the audit entry's \"before\" of {} differs",
                record.delta_.to_.value(), row.key_.value()));
        }
    }
    if (audited != changed_rows(record))
    {
        found.push_back(fmt::format(
            "revision {}: the audit entry and the change differ",
            record.delta_.to_.value()));
    }
}

row_state read_rows(table_service& tables)
{
    row_state rows;
    for (const auto table : {table_id::routes, table_id::pools})
    {
        const auto stored =
            tables.scan({std::string(to_string(table)), "", "", 100'000});
        for (const auto& row : *stored)
        {
            rows[{table, row_key{row.key_}}] = row.value_;
        }
    }
    return rows;
}

} // namespace

std::vector<std::string> check_audit(const std::vector<change_record>& records)
{
    std::vector<std::string> found;
    const auto states = replay(to_history(records));
    for (const auto& record : records)
    {
        const revision before{record.delta_.to_.value() - 1};
        const auto state = states.find(before);
        check_record(
            record, state == states.end() ? row_state{} : state->second, found);
    }
    return found;
}

std::vector<std::string> check_stored_rows(
    const std::vector<change_record>& records, table_service& tables)
{
    std::vector<std::string> found;
    if (records.empty())
    {
        return found;
    }
    const auto& last = records.back().delta_;
    const auto head = read_head(tables);
    if (head->revision_ != last.to_ || head->hash_ != last.result_hash_)
    {
        found.emplace_back("the head differs from the last change");
    }
    if (replay(to_history(records)).at(last.to_) != read_rows(tables))
    {
        found.emplace_back("the stored rows differ from the changes");
    }
    return found;
}

std::vector<committed_change>
to_history(const std::vector<change_record>& records)
{
    std::vector<committed_change> changes;
    for (const auto& record : records)
    {
        committed_change change{record.delta_.to_, record.id_, {}};
        for (const auto& row : record.delta_.changes_)
        {
            change.rows_.push_back({row.table_, row.key_, row_to_json(row)});
        }
        changes.push_back(std::move(change));
    }
    return changes;
}

} // namespace hemlockshelf
