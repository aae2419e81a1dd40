#include "hemlockshelf/config/table_builder.hpp"

#include <utility>
#include <vector>

namespace hemlockshelf {

namespace {

template <class Rows, class Row>
bool has_equal_row(const Rows& rows, const row_key& key, const Row& row)
{
    const auto found = rows.find(key);
    return found != rows.end() && *found->second == row;
}

template <class Rows>
void add_deletions(
    table_id table,
    const Rows& rows,
    const std::set<row_key>& kept,
    std::vector<row_change>& deletions)
{
    for (const auto& entry : rows)
    {
        if (!kept.contains(entry.first))
        {
            deletions.push_back({table, entry.first, row_deletion{}});
        }
    }
}

} // namespace

table_builder::table_builder(const config_tables& previous) : tables_(previous)
{}

void table_builder::put(const row_key& key, const route_row& row)
{
    routes_.insert(key);
    if (!has_equal_row(tables_.routes_, key, row))
    {
        apply_change(tables_, {table_id::routes, key, row});
    }
}

void table_builder::put(const row_key& key, const pool_row& row)
{
    pools_.insert(key);
    if (!has_equal_row(tables_.pools_, key, row))
    {
        apply_change(tables_, {table_id::pools, key, row});
    }
}

void table_builder::put(const row_key& key, const account_row& row)
{
    accounts_.insert(key);
    if (!has_equal_row(tables_.accounts_, key, row))
    {
        apply_change(tables_, {table_id::accounts, key, row});
    }
}

config_tables table_builder::finish() &&
{
    std::vector<row_change> deletions;
    add_deletions(table_id::routes, tables_.routes_, routes_, deletions);
    add_deletions(table_id::pools, tables_.pools_, pools_, deletions);
    add_deletions(table_id::accounts, tables_.accounts_, accounts_, deletions);
    for (const auto& deletion : deletions)
    {
        apply_change(tables_, deletion);
    }
    return std::move(tables_);
}

} // namespace hemlockshelf
