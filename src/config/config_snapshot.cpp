#include "hemlockshelf/config/config_snapshot.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/config/row_codec.hpp"

namespace hemlockshelf {

namespace {

bool changes_accounts(const std::vector<row_change>& changes)
{
    return std::ranges::any_of(
        changes,
        [](const row_change& change)
        {
            return change.table_ == table_id::accounts;
        });
}

} // namespace

config_snapshot::config_snapshot(
    revision number,
    config_tables tables,
    route_index index,
    std::shared_ptr<const account_index> accounts)
    : number_(number), tables_(std::move(tables)), index_(std::move(index)),
      accounts_(std::move(accounts))
{}

result<std::shared_ptr<const config_snapshot>>
config_snapshot::build(revision number, config_tables tables)
{
    const auto checked = check_references(tables);
    if (!checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    auto accounts = account_index::build(tables);
    if (!accounts)
    {
        return tl::unexpected<error>(accounts.error());
    }
    auto index = route_index::build(tables);
    return std::shared_ptr<const config_snapshot>(new config_snapshot(
        number, std::move(tables), std::move(index), std::move(*accounts)));
}

result<std::shared_ptr<const config_snapshot>> config_snapshot::build_next(
    const config_snapshot& base,
    revision number,
    config_tables tables,
    const std::vector<row_change>& changes)
{
    const auto owners = affected_accounts(base.tables_, tables, changes);
    const auto checked = check_references(tables, owners);
    if (!checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    auto accounts =
        changes_accounts(changes)
            ? account_index::build(tables)
            : result<std::shared_ptr<const account_index>>(base.accounts_);
    if (!accounts)
    {
        return tl::unexpected<error>(accounts.error());
    }
    auto index = base.index_.with_accounts(tables, owners);
    return std::shared_ptr<const config_snapshot>(new config_snapshot(
        number, std::move(tables), std::move(index), std::move(*accounts)));
}

std::shared_ptr<const config_snapshot> config_snapshot::empty()
{
    return std::shared_ptr<const config_snapshot>(new config_snapshot(
        revision{0}, {}, {}, std::make_shared<const account_index>()));
}

const resolved_route* config_snapshot::find_route(
    const client_account_id& account,
    std::string_view host,
    std::string_view path) const
{
    return index_.find(account, host, path);
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

result<void> check_revision_order(revision current, revision next)
{
    return check_revision_order(current, config_delta{next, {}, {}});
}

result<void> check_revision_order(revision current, const config_delta& delta)
{
    if (delta.to_ <= current)
    {
        return make_error(
            error_kind::stale_revision,
            fmt::format(
                "delta to revision {}: the current revision is already {}",
                delta.to_.value(), current.value()));
    }
    if (base_revision(delta) != current)
    {
        return make_error(
            error_kind::revision_gap,
            fmt::format(
                "delta to revision {}: expected one that follows revision {}, "
                "given one that follows revision {}",
                delta.to_.value(), current.value(),
                base_revision(delta).value()));
    }
    return {};
}

result<std::shared_ptr<const config_snapshot>>
apply_delta(const config_snapshot& base, const config_delta& delta)
{
    const auto follows = check_revision_order(base.number(), delta);
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
    return config_snapshot::build_next(
        base, delta.to_, std::move(tables), delta.changes_);
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
