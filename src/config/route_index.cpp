#include "hemlockshelf/config/route_index.hpp"

#include <algorithm>
#include <utility>

#include "hemlockshelf/config/row_codec.hpp"

namespace hemlockshelf {

namespace {

bool has_longer_prefix(const resolved_route& left, const resolved_route& right)
{
    const auto left_size = left.route_->path_prefix_.size();
    const auto right_size = right.route_->path_prefix_.size();
    return left_size != right_size ? left_size > right_size
                                   : left.key_ < right.key_;
}

void add_shared_accounts(
    const config_tables& tables,
    const row_key& pool,
    std::set<client_account_id>& accounts)
{
    const auto found = tables.pools_.find(pool);
    if (found != tables.pools_.end())
    {
        accounts.insert(
            found->second->shared_with_.begin(),
            found->second->shared_with_.end());
    }
}

resolved_route resolve(
    const config_tables& tables,
    const row_key& key,
    const std::shared_ptr<const route_row>& route)
{
    resolved_route resolved{
        key, route, route->pool_, tables.pools_.at(route->pool_), {}};
    for (const auto& share : route->split_)
    {
        resolved.split_targets_.push_back(
            {key, route, share.pool_, tables.pools_.at(share.pool_), {}});
    }
    return resolved;
}

} // namespace

const resolved_route&
choose_split_target(const resolved_route& route, double position)
{
    double total = 0;
    for (const auto& share : route.route_->split_)
    {
        total += share.weight_;
    }
    double remaining = position * total;
    const resolved_route* chosen = &route;
    for (std::size_t index = 0; index < route.split_targets_.size(); ++index)
    {
        const double weight = route.route_->split_.at(index).weight_;
        if (weight <= 0)
        {
            continue;
        }
        chosen = &route.split_targets_.at(index);
        remaining -= weight;
        if (remaining < 0)
        {
            break;
        }
    }
    return *chosen;
}

route_index route_index::build(const config_tables& tables)
{
    std::set<client_account_id> accounts;
    for (const auto& route : tables.routes_)
    {
        accounts.insert(account_of(route.first));
    }
    return route_index{}.with_accounts(tables, accounts);
}

route_index route_index::with_accounts(
    const config_tables& tables,
    const std::set<client_account_id>& accounts) const
{
    auto next = *this;
    for (const auto& account : accounts)
    {
        auto routes = build_account_routes(tables, account);
        if (routes.empty())
        {
            next.accounts_.erase(account);
            continue;
        }
        next.accounts_[account] =
            std::make_shared<const account_routes>(std::move(routes));
    }
    return next;
}

const resolved_route* route_index::find(
    const client_account_id& account,
    std::string_view host,
    std::string_view path) const
{
    const auto routes = accounts_.find(account);
    if (routes == accounts_.end())
    {
        return nullptr;
    }
    const auto found = routes->second->find(host);
    if (found == routes->second->end())
    {
        return nullptr;
    }
    for (const auto& candidate : found->second)
    {
        if (path.starts_with(candidate.route_->path_prefix_))
        {
            return &candidate;
        }
    }
    return nullptr;
}

route_index::account_routes route_index::build_account_routes(
    const config_tables& tables, const client_account_id& account)
{
    account_routes routes;
    const auto [first, last] = account_rows(tables.routes_, account);
    for (auto row = first; row != last; ++row)
    {
        const auto& [key, route] = *row;
        routes[route->host_].push_back(resolve(tables, key, route));
    }
    for (auto& entry : routes)
    {
        std::ranges::sort(entry.second, has_longer_prefix);
    }
    return routes;
}

std::set<client_account_id> affected_accounts(
    const config_tables& before,
    const config_tables& after,
    const std::vector<row_change>& changes)
{
    std::set<client_account_id> accounts;
    for (const auto& change : changes)
    {
        if (change.table_ == table_id::accounts)
        {
            continue;
        }
        accounts.insert(account_of(change.key_));
        if (change.table_ == table_id::pools)
        {
            add_shared_accounts(before, change.key_, accounts);
            add_shared_accounts(after, change.key_, accounts);
        }
    }
    return accounts;
}

} // namespace hemlockshelf
