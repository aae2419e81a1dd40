#include "hemlockshelf/config/config_tables.hpp"

#include <string>
#include <variant>

#include <fmt/format.h>

#include "hemlockshelf/config/row_codec.hpp"

namespace hemlockshelf {

namespace {

template <class Row>
void replace_row(
    std::map<row_key, std::shared_ptr<const Row>>& rows,
    content_hash& hash,
    const row_change& change)
{
    const auto existing = rows.find(change.key_);
    if (existing != rows.end())
    {
        hash.remove(row_hash_input(
            change.table_, change.key_, to_json(*existing->second)));
        rows.erase(existing);
    }
    const auto* row = std::get_if<Row>(&change.row_);
    if (row == nullptr)
    {
        return;
    }
    hash.add(row_hash_input(change.table_, change.key_, to_json(*row)));
    rows.emplace(change.key_, std::make_shared<const Row>(*row));
}

result<void> check_pool(
    const config_tables& tables, const row_key& key, const row_key& pool_key)
{
    const auto pool = tables.pools_.find(pool_key);
    if (pool == tables.pools_.end())
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "route \"{}\": its pool \"{}\" does not exist", key.value(),
                pool_key.value()));
    }
    const auto account = account_of(key);
    if (account != account_of(pool_key) &&
        !pool->second->shared_with_.contains(account))
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "route \"{}\": its pool \"{}\" is not shared with the "
                "account \"{}\"",
                key.value(), pool_key.value(), account.value()));
    }
    return {};
}

result<void> check_reference(
    const config_tables& tables, const row_key& key, const route_row& route)
{
    auto checked = check_pool(tables, key, route.pool_);
    for (const auto& share : route.split_)
    {
        if (!checked)
        {
            break;
        }
        checked = check_pool(tables, key, share.pool_);
    }
    return checked;
}

} // namespace

void apply_change(config_tables& tables, const row_change& change)
{
    switch (change.table_)
    {
    case table_id::routes:
        replace_row(tables.routes_, tables.hash_, change);
        break;
    case table_id::pools:
        replace_row(tables.pools_, tables.hash_, change);
        break;
    case table_id::accounts:
        replace_row(tables.accounts_, tables.hash_, change);
        break;
    }
}

result<void> check_references(const config_tables& tables)
{
    for (const auto& [key, route] : tables.routes_)
    {
        auto checked = check_reference(tables, key, *route);
        if (!checked)
        {
            return checked;
        }
    }
    return {};
}

result<void> check_references(
    const config_tables& tables, const std::set<client_account_id>& accounts)
{
    for (const auto& account : accounts)
    {
        const auto [first, last] = account_rows(tables.routes_, account);
        for (auto row = first; row != last; ++row)
        {
            auto checked = check_reference(tables, row->first, *row->second);
            if (!checked)
            {
                return checked;
            }
        }
    }
    return {};
}

result<void>
check_hash(const config_tables& tables, const content_hash& expected)
{
    if (tables.hash_ == expected)
    {
        return {};
    }
    return make_error(
        error_kind::hash_mismatch,
        fmt::format(
            "tables: expected the hash {}, computed {}", expected.to_string(),
            tables.hash_.to_string()));
}

std::vector<row_change> all_rows(const config_tables& tables)
{
    std::vector<row_change> rows;
    rows.reserve(
        tables.routes_.size() + tables.pools_.size() + tables.accounts_.size());
    for (const auto& [key, pool] : tables.pools_)
    {
        rows.push_back({table_id::pools, key, *pool});
    }
    for (const auto& [key, route] : tables.routes_)
    {
        rows.push_back({table_id::routes, key, *route});
    }
    for (const auto& [key, account] : tables.accounts_)
    {
        rows.push_back({table_id::accounts, key, *account});
    }
    return rows;
}

} // namespace hemlockshelf
