#include "hemlockshelf/config/table_changes.hpp"

#include <map>
#include <memory>

namespace hemlockshelf {

namespace {

template <class Row>
using row_map = std::map<row_key, std::shared_ptr<const Row>>;

template <class Row>
void add_changes(
    table_id table,
    const row_map<Row>& before,
    const row_map<Row>& after,
    std::vector<row_change>& changes)
{
    auto old = before.begin();
    for (const auto& [key, row] : after)
    {
        while (old != before.end() && old->first < key)
        {
            changes.push_back({table, old->first, row_deletion{}});
            ++old;
        }
        const bool existed = old != before.end() && old->first == key;
        if (!existed || (old->second != row && *old->second != *row))
        {
            changes.push_back({table, key, *row});
        }
        if (existed)
        {
            ++old;
        }
    }
    for (; old != before.end(); ++old)
    {
        changes.push_back({table, old->first, row_deletion{}});
    }
}

} // namespace

std::vector<row_change>
changes_between(const config_tables& before, const config_tables& after)
{
    std::vector<row_change> changes;
    add_changes(table_id::pools, before.pools_, after.pools_, changes);
    add_changes(table_id::routes, before.routes_, after.routes_, changes);
    add_changes(table_id::accounts, before.accounts_, after.accounts_, changes);
    return changes;
}

} // namespace hemlockshelf
