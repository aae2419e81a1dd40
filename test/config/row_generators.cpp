#include "test/config/row_generators.hpp"

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hemlockshelf/accounts/key_hash.hpp"

namespace hemlockshelf {

namespace {

rc::Gen<std::string> any_account()
{
    return rc::gen::element<std::string>("regie", "guild");
}

rc::Gen<std::set<client_account_id>> any_accounts()
{
    using accounts = std::set<client_account_id>;
    const client_account_id regie{"regie"};
    const client_account_id guild{"guild"};
    return rc::gen::element(
        accounts{}, accounts{regie}, accounts{guild}, accounts{regie, guild});
}

rc::Gen<row_key> any_key()
{
    return rc::gen::map(
        rc::gen::pair(
            any_account(), rc::gen::element<std::string>("a", "b", "c")),
        [](const std::pair<std::string, std::string>& parts)
        {
            return row_key{parts.first + "/" + parts.second};
        });
}

} // namespace

rc::Gen<route_row> any_route()
{
    return rc::gen::build<route_row>(
        rc::gen::set(
            &route_row::host_,
            rc::gen::element<std::string>("catalogue.regie", "ledger.guild")),
        rc::gen::set(
            &route_row::path_prefix_,
            rc::gen::element<std::string>("/", "/silk", "/silk/red")),
        rc::gen::set(&route_row::pool_, any_key()),
        rc::gen::set(
            &route_row::class_,
            rc::gen::element(
                traffic_class::lookup, traffic_class::standard,
                traffic_class::bulk)),
        rc::gen::set(
            &route_row::timeout_, rc::gen::map(
                                      rc::gen::inRange(1, 600'001),
                                      [](int value)
                                      {
                                          return std::chrono::milliseconds{
                                              value};
                                      })),
        rc::gen::set(&route_row::idempotent_));
}

rc::Gen<pool_row> any_pool()
{
    return rc::gen::build<pool_row>(
        rc::gen::set(
            &pool_row::service_,
            rc::gen::element(
                service_name{"catalogue"}, service_name{"ledger"})),
        rc::gen::set(&pool_row::shared_with_, any_accounts()),
        rc::gen::set(&pool_row::shed_is_not_run_),
        rc::gen::set(
            &pool_row::max_concurrent_calls_,
            rc::gen::inRange<std::uint32_t>(1, 1'000'001)));
}

rc::Gen<account_row> any_account_row()
{
    return rc::gen::build<account_row>(
        rc::gen::set(
            &account_row::priority_,
            rc::gen::element<std::optional<std::uint32_t>>(
                std::nullopt, std::uint32_t{0}, std::uint32_t{3})),
        rc::gen::set(
            &account_row::requests_per_second_,
            rc::gen::element(0.0, 0.1, 572.0)),
        rc::gen::set(&account_row::burst_, rc::gen::element(0.0, 12.5)));
}

namespace {

rc::Gen<row_change> any_change_of(const std::vector<table_id>& tables)
{
    return rc::gen::exec(
        [tables]
        {
            row_change change;
            change.key_ = *any_key();
            change.table_ = *rc::gen::elementOf(tables);
            if (*rc::gen::inRange(0, 4) == 0)
            {
                return change;
            }
            switch (change.table_)
            {
            case table_id::routes:
                change.row_ = *any_route();
                break;
            case table_id::pools:
                change.row_ = *any_pool();
                break;
            case table_id::accounts:
                change.row_ = *any_account_row();
                // A key belongs to one account only.
                std::get<account_row>(change.row_)
                    .key_hashes_.insert(sha256_hex(change.key_.value()));
                break;
            }
            return change;
        });
}

} // namespace

rc::Gen<row_change> any_change()
{
    return any_change_of(
        {table_id::routes, table_id::pools, table_id::accounts});
}

rc::Gen<row_change> any_edited_change()
{
    return any_change_of({table_id::routes, table_id::pools});
}

revision_chain make_chain(const std::vector<row_change>& changes)
{
    revision_chain chain;
    chain.snapshots_.push_back(config_snapshot::empty());
    for (const auto& change : changes)
    {
        const auto& base = *chain.snapshots_.back();
        auto delta = delta_after(base, {change});
        auto next = apply_delta(base, delta);
        if (next)
        {
            chain.snapshots_.push_back(std::move(*next));
            chain.deltas_.push_back(std::move(delta));
        }
    }
    return chain;
}

config_delta
delta_after(const config_snapshot& base, std::vector<row_change> changes)
{
    auto tables = base.tables();
    for (const auto& change : changes)
    {
        apply_change(tables, change);
    }
    return {
        revision{base.number().value() + 1}, std::move(changes), tables.hash_};
}

} // namespace hemlockshelf
