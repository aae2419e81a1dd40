#include "hemlockshelf/config/config_snapshot.hpp"

#include <rapidcheck.h>

#include "hemlockshelf/config/row_codec.hpp"
#include "test/config/row_generators.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

row_change pool_change(const char* key)
{
    return {
        table_id::pools, row_key{key},
        pool_row{service_name{"catalogue"}, {}, false, 10}};
}

row_change
route_change(const char* key, const char* pool, const char* prefix = "/")
{
    route_row route;
    route.host_ = "catalogue.regie";
    route.path_prefix_ = prefix;
    route.pool_ = row_key{pool};
    return {table_id::routes, row_key{key}, route};
}

config_delta
make_delta(const config_snapshot& base, std::vector<row_change> changes)
{
    auto tables = base.tables();
    for (const auto& change : changes)
    {
        apply_change(tables, change);
    }
    return {
        revision{base.number().value() + 1}, std::move(changes), tables.hash_};
}

} // namespace

// Guards against a request that is matched to a less specific route.
Test(config_snapshot, the_longest_prefix_wins)
{
    const auto base = config_snapshot::empty();
    const auto next = apply_delta(
        *base, make_delta(
                   *base, {pool_change("regie/a"), pool_change("regie/b"),
                           route_change("regie/all", "regie/a"),
                           route_change("regie/silk", "regie/b", "/silk")}));
    cr_assert(next.has_value());
    const client_account_id regie{"regie"};
    const auto* silk = (*next)->find_route(regie, "catalogue.regie", "/silk/7");
    cr_assert_not_null(silk);
    cr_assert(silk->pool_key_ == row_key{"regie/b"});
    const auto* other = (*next)->find_route(regie, "catalogue.regie", "/x");
    cr_assert(other->pool_key_ == row_key{"regie/a"});
    cr_assert_null((*next)->find_route(regie, "elsewhere", "/x"));
    cr_assert_null((*next)->find_route(
        client_account_id{"guild"}, "catalogue.regie", "/x"));
}

// Guards against a route without its pool (promise P2).
Test(config_snapshot, a_dangling_route_is_rejected)
{
    const auto base = config_snapshot::empty();
    const auto next = apply_delta(
        *base, make_delta(*base, {route_change("regie/all", "regie/a")}));
    cr_assert(next.error().kind_ == error_kind::invalid_row);
}

// Guards against a route to a pool of another account that is not shared with
// the route's account.
Test(config_snapshot, a_pool_of_another_account_must_be_shared)
{
    const auto base = config_snapshot::empty();
    const auto refused = apply_delta(
        *base, make_delta(
                   *base, {pool_change("guild/a"),
                           route_change("regie/all", "guild/a")}));
    cr_assert(refused.error().kind_ == error_kind::invalid_row);
    auto shared = pool_change("guild/a");
    std::get<pool_row>(shared.row_).shared_with_.emplace("regie");
    const auto accepted = apply_delta(
        *base,
        make_delta(*base, {shared, route_change("regie/all", "guild/a")}));
    cr_assert(accepted.has_value());
}

// Guards against a corrupted delta that is applied (promise P3).
Test(config_snapshot, a_wrong_hash_is_rejected)
{
    const auto base = config_snapshot::empty();
    auto delta = make_delta(*base, {pool_change("regie/a")});
    delta.result_hash_.add("damage");
    const auto next = apply_delta(*base, delta);
    cr_assert(next.error().kind_ == error_kind::hash_mismatch);
}

// Guards against deltas that are applied out of order.
Test(config_snapshot, only_the_next_delta_is_applied)
{
    const auto base = config_snapshot::empty();
    auto delta = make_delta(*base, {pool_change("regie/a")});
    delta.to_ = revision{2};
    cr_assert(
        apply_delta(*base, delta).error().kind_ == error_kind::revision_gap);
    delta.to_ = revision{0};
    cr_assert(
        apply_delta(*base, delta).error().kind_ == error_kind::stale_revision);
}

// Guards against an incrementally updated index that resolves a route to an
// outdated pool, or keeps a deleted route.
Test(config_snapshot, an_index_after_deltas_equals_one_built_whole)
{
    cr_assert(rc::check(
        []
        {
            const auto chain = make_chain(
                *rc::gen::container<std::vector<row_change>>(any_change()));
            const auto& last = *chain.snapshots_.back();
            const auto rebuilt =
                *config_snapshot::build(last.number(), last.tables());
            for (const auto& [key, route] : last.tables().routes_)
            {
                const auto account = account_of(key);
                const auto* found =
                    last.find_route(account, route->host_, route->path_prefix_);
                const auto* expected = rebuilt->find_route(
                    account, route->host_, route->path_prefix_);
                RC_ASSERT(found != nullptr);
                RC_ASSERT(found->key_ == expected->key_);
                RC_ASSERT(found->route_ == expected->route_);
                RC_ASSERT(found->pool_ == expected->pool_);
            }
            for (const auto& snapshot : chain.snapshots_)
            {
                for (const auto& [key, route] : snapshot->tables().routes_)
                {
                    const auto account = account_of(key);
                    const auto* found = last.find_route(
                        account, route->host_, route->path_prefix_);
                    const auto* expected = rebuilt->find_route(
                        account, route->host_, route->path_prefix_);
                    RC_ASSERT((found == nullptr) == (expected == nullptr));
                }
            }
        }));
}
