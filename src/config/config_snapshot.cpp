#include "hemlockshelf/config/config_snapshot.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/config/row_codec.hpp"

namespace hemlockshelf {

namespace {

std::string index_key(const client_account_id& account, std::string_view host)
{
    std::string key;
    key.reserve(account.value().size() + host.size() + 1);
    key.append(account.value()).append(1, '\n').append(host);
    return key;
}

} // namespace

config_snapshot::config_snapshot(revision number, config_tables tables)
    : number_(number), tables_(std::move(tables))
{}

result<std::shared_ptr<const config_snapshot>>
config_snapshot::build(revision number, config_tables tables)
{
    const auto checked = check_references(tables);
    if (!checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    auto* raw = new config_snapshot(number, std::move(tables));
    std::shared_ptr<config_snapshot> snapshot(raw);
    snapshot->build_index();
    return std::shared_ptr<const config_snapshot>(std::move(snapshot));
}

std::shared_ptr<const config_snapshot> config_snapshot::empty()
{
    return std::shared_ptr<const config_snapshot>(
        new config_snapshot(revision{0}, {}));
}

void config_snapshot::build_index()
{
    for (const auto& [key, route] : tables_.routes_)
    {
        index_[index_key(account_of(key), route->host_)].push_back(
            {key, route, route->pool_, tables_.pools_.at(route->pool_)});
    }
    const auto longer_prefix_first =
        [](const resolved_route& left, const resolved_route& right)
    {
        const auto left_size = left.route_->path_prefix_.size();
        const auto right_size = right.route_->path_prefix_.size();
        return left_size != right_size ? left_size > right_size
                                       : left.key_ < right.key_;
    };
    for (auto& entry : index_)
    {
        std::ranges::sort(entry.second, longer_prefix_first);
    }
}

const resolved_route* config_snapshot::find_route(
    const client_account_id& account,
    std::string_view host,
    std::string_view path) const
{
    const auto found = index_.find(index_key(account, host));
    if (found == index_.end())
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

bool config_snapshot::has_account(const client_account_id& account) const
{
    const row_key first{account.value() + "/"};
    const auto owns = [&](const auto& rows)
    {
        const auto found = rows.lower_bound(first);
        return found != rows.end() && account_of(found->first) == account;
    };
    return owns(tables_.routes_) || owns(tables_.pools_);
}

result<void> check_follows(revision held, revision next)
{
    if (next <= held)
    {
        return make_error(
            error_kind::stale_revision,
            fmt::format(
                "delta to revision {}: revision {} is already held",
                next.value(), held.value()));
    }
    if (next.value() != held.value() + 1)
    {
        return make_error(
            error_kind::revision_gap,
            fmt::format(
                "delta to revision {}: expected one that follows revision {}",
                next.value(), held.value()));
    }
    return {};
}

result<std::shared_ptr<const config_snapshot>>
apply_delta(const config_snapshot& base, const config_delta& delta)
{
    const auto follows = check_follows(base.number(), delta.to_);
    if (!follows)
    {
        return tl::unexpected<error>(follows.error());
    }
    auto tables = base.tables();
    for (const auto& change : delta.changes_)
    {
        apply_change(tables, change);
    }
    const auto checked = check_hash(tables, delta.result_hash_);
    if (!checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    return config_snapshot::build(delta.to_, std::move(tables));
}

result<std::shared_ptr<const config_snapshot>> build_from_rows(
    revision number,
    const std::vector<row_change>& rows,
    const content_hash& expected)
{
    config_tables tables;
    for (const auto& row : rows)
    {
        apply_change(tables, row);
    }
    const auto checked = check_hash(tables, expected);
    if (!checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    return config_snapshot::build(number, std::move(tables));
}

} // namespace hemlockshelf
