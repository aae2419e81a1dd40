#include "hemlockshelf/config/revision_applier.hpp"

#include <rapidcheck.h>

#include "hemlockshelf/config/row_codec.hpp"
#include "hemlockshelf/core/manual_clock.hpp"
#include "test/config/row_generators.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

rc::Gen<std::vector<row_change>> any_changes()
{
    return rc::gen::container<std::vector<row_change>>(any_change());
}

void check_current(const snapshot_store& store, const revision_chain& chain)
{
    const auto current = store.current();
    const auto& expected = *chain.snapshots_.at(current->number().value());
    RC_ASSERT(current->tables().hash_ == expected.tables().hash_);
}

whole_revision to_whole_revision(const config_snapshot& snapshot)
{
    const auto& tables = snapshot.tables();
    return {snapshot.number(), all_rows(tables), tables.hash_};
}

/// Corrupts a delta in one of the ways in which a faulty sender could.
config_delta corrupt(config_delta delta)
{
    switch (*rc::gen::inRange(0, 3))
    {
    case 0:
        delta.result_hash_.add("damage");
        break;
    case 1:
        delta.changes_.clear();
        break;
    default:
        delta.changes_.push_back(
            {table_id::routes, row_key{"regie/damage"}, route_row{}});
        break;
    }
    return delta;
}

} // namespace

// Guards against a node that activates a state that was never accepted, or goes
// back to an older revision, when deltas are lost, repeated or reordered
// (promises P1 and P3).
Test(config_properties, deltas_in_any_order_lead_to_accepted_states_only)
{
    cr_assert(rc::check(
        []
        {
            const auto chain = make_chain(*any_changes());
            RC_PRE(!chain.deltas_.empty());
            const auto order = *rc::gen::container<std::vector<std::size_t>>(
                rc::gen::inRange<std::size_t>(0, chain.deltas_.size()));
            snapshot_store store;
            const manual_clock time;
            revision_applier applier(store, time, nullptr);
            for (const auto index : order)
            {
                const auto before = store.current()->number();
                const auto& delta = chain.deltas_.at(index);
                const bool follows = delta.to_.value() == before.value() + 1;
                RC_ASSERT(applier.apply(delta).has_value() == follows);
                RC_ASSERT(store.current()->number() >= before);
                check_current(store, chain);
            }
            const auto& last = *chain.snapshots_.back();
            const bool behind = store.current()->number() < last.number();
            RC_ASSERT(
                applier.apply(to_whole_revision(last)).has_value() == behind);
            RC_ASSERT(store.current()->number() == last.number());
            check_current(store, chain);
        }));
}

// Guards against an invalid delta that modifies the active snapshot.
Test(config_properties, a_damaged_delta_changes_nothing)
{
    cr_assert(rc::check(
        []
        {
            const auto chain = make_chain(*any_changes());
            RC_PRE(!chain.deltas_.empty());
            snapshot_store store;
            const manual_clock time;
            revision_applier applier(store, time, nullptr);
            for (const auto& delta : chain.deltas_)
            {
                const auto before = store.current();
                const auto corrupted = corrupt(delta);
                if (corrupted.changes_ != delta.changes_ ||
                    corrupted.result_hash_ != delta.result_hash_)
                {
                    const bool unchanged =
                        delta.result_hash_ == before->tables().hash_ &&
                        corrupted.changes_.empty();
                    RC_ASSERT(
                        applier.apply(corrupted).has_value() == unchanged);
                    if (unchanged)
                    {
                        continue;
                    }
                    RC_ASSERT(store.current() == before);
                    RC_ASSERT(applier.state() == applier_state::rejected);
                }
                RC_ASSERT(applier.apply(delta).has_value());
                RC_ASSERT(applier.state() == applier_state::live);
            }
        }));
}

// Guards against a content hash that depends on the order in which the rows
// were added.
Test(config_properties, the_hash_depends_on_the_rows_only)
{
    cr_assert(rc::check(
        []
        {
            const auto chain = make_chain(*any_changes());
            const auto& last = *chain.snapshots_.back();
            auto rows = all_rows(last.tables());
            std::reverse(rows.begin(), rows.end());
            config_tables rebuilt;
            for (const auto& row : rows)
            {
                apply_change(rebuilt, row);
            }
            RC_ASSERT(rebuilt.hash_ == last.tables().hash_);
        }));
}

// Guards against two different states with the same hash.
Test(config_properties, different_rows_have_different_hashes)
{
    cr_assert(rc::check(
        []
        {
            const auto one = make_chain(*any_changes()).snapshots_.back();
            const auto two = make_chain(*any_changes()).snapshots_.back();
            const bool same_rows =
                all_rows(one->tables()) == all_rows(two->tables());
            const bool same_hash = one->tables().hash_ == two->tables().hash_;
            RC_ASSERT(same_rows == same_hash);
        }));
}

// Guards against a snapshot that has a route without its pool (promise P2).
Test(config_properties, every_route_of_a_snapshot_has_its_pool)
{
    cr_assert(rc::check(
        []
        {
            const auto chain = make_chain(*any_changes());
            for (const auto& snapshot : chain.snapshots_)
            {
                for (const auto& [key, route] : snapshot->tables().routes_)
                {
                    const auto* found = snapshot->find_route(
                        account_of(key), route->host_, route->path_prefix_);
                    RC_ASSERT(found != nullptr);
                    RC_ASSERT(found->pool_ != nullptr);
                }
            }
        }));
}

// Guards against a codec that loses or changes a field.
Test(config_properties, codecs_round_trip)
{
    cr_assert(rc::check(
        []
        {
            const auto route = *any_route();
            RC_ASSERT(route_from_json(to_json(route)) == route);
            const auto pool = *any_pool();
            RC_ASSERT(pool_from_json(to_json(pool)) == pool);
        }));
    cr_assert(rc::check(
        []
        {
            const auto chain = make_chain(*any_changes());
            for (const auto& delta : chain.deltas_)
            {
                const auto text = to_json(delta).dump();
                RC_ASSERT(
                    delta_from_json(nlohmann::json::parse(text)) == delta);
            }
        }));
}

// Guards against a delta whose base revision is lost in serialization, and
// against a delta with an invalid base revision.
Test(config_properties, the_base_of_a_delta_is_passed_on)
{
    const config_delta delta{revision{9}, {}, {}, revision{4}};
    auto json = to_json(delta);
    cr_assert(delta_from_json(json) == delta);
    for (const auto& bad :
         {nlohmann::json(9), nlohmann::json(-1), nlohmann::json("4")})
    {
        json["base"] = bad;
        const auto read = delta_from_json(json);
        cr_assert(!read && read.error().kind_ == error_kind::invalid_row);
    }
}

// Guards against malformed input that is accepted or crashes the process.
Test(config_properties, a_row_with_a_wrong_field_is_refused)
{
    cr_assert(rc::check(
        []
        {
            auto json = to_json(*any_route());
            const auto field = *rc::gen::element<std::string>(
                "host", "path_prefix", "pool", "class", "timeout_ms",
                "idempotent", "unknown");
            json[field] = *rc::gen::element<nlohmann::json>(
                nlohmann::json{}, nlohmann::json::array(),
                nlohmann::json::object(), nlohmann::json(-1), "", 1e300);
            const auto row = route_from_json(json);
            RC_ASSERT(!row.has_value());
            RC_ASSERT(row.error().kind_ == error_kind::invalid_row);
        }));
}
