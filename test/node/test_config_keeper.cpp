#include "node/config_keeper.hpp"

#include <algorithm>

#include <rapidcheck.h>

#include "adapters/telemetry/prometheus_metrics.hpp"
#include "hemlockshelf/core/manual_clock.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

constexpr std::size_t kept_deltas = 16;

struct fixture
{
    manual_clock time_;
    prometheus_metrics metrics_;
    snapshot_store snapshots_;
    config_keeper keeper_{snapshots_, time_, metrics_, kept_deltas};
};

/// Returns deltas to the revisions from 1 to `count`, each of one pool.
std::vector<accepted_delta> make_deltas(std::size_t count)
{
    std::vector<accepted_delta> deltas;
    config_tables tables;
    for (std::size_t number = 1; number <= count; ++number)
    {
        const row_change change{
            table_id::pools, row_key{"regie/a" + std::to_string(number % 3)},
            pool_row{
                service_name{"catalogue"},
                {},
                false,
                static_cast<std::uint32_t>(number)}};
        apply_change(tables, change);
        deltas.push_back({{revision{number}, {change}, tables.hash_}, {}});
    }
    return deltas;
}

/// Returns published snapshots, of revisions with gaps, each with one pool
/// changed.
std::vector<std::shared_ptr<const config_snapshot>>
make_published(const std::vector<std::uint64_t>& numbers)
{
    constexpr std::size_t pools = 8;
    std::vector<std::shared_ptr<const config_snapshot>> snapshots;
    config_tables tables;
    const auto change_pool = [&tables](std::size_t pool, std::uint64_t number)
    {
        apply_change(
            tables, {table_id::pools, row_key{"regie/a" + std::to_string(pool)},
                     pool_row{
                         service_name{"catalogue"},
                         {},
                         false,
                         static_cast<std::uint32_t>(number)}});
    };
    for (std::size_t pool = 0; pool < pools; ++pool)
    {
        change_pool(pool, 1);
    }
    for (const auto number : numbers)
    {
        change_pool(number % pools, number);
        snapshots.push_back(*config_snapshot::build(revision{number}, tables));
    }
    return snapshots;
}

/// Returns the deltas with which a reader that sees only `seen` passes them on.
std::vector<accepted_delta> deltas_of_reader(
    const std::vector<std::shared_ptr<const config_snapshot>>& seen)
{
    fixture reader;
    std::vector<accepted_delta> deltas;
    for (const auto& snapshot : seen)
    {
        const auto delta = reader.keeper_.adopt(snapshot, apply_source::poll);
        if (delta)
        {
            deltas.push_back(*delta);
        }
    }
    return deltas;
}

} // namespace

// Guards against published revisions that peers can only take as whole
// snapshots, because a delta between them has a gap.
Test(config_keeper, a_published_revision_is_passed_on_as_a_delta)
{
    const auto published = make_published({3, 7, 12});
    const auto deltas = deltas_of_reader(published);
    cr_assert(deltas.size() == 3);
    cr_assert(base_revision(deltas[0].delta_) == revision{0});
    cr_assert(deltas[1].delta_.changes_.size() == 1);
    cr_assert(base_revision(deltas[1].delta_) == revision{3});
    fixture peer;
    static_cast<void>(
        peer.keeper_.adopt(published.front(), apply_source::repair));
    cr_assert(
        peer.keeper_.apply({deltas[2]}, apply_source::push).error().kind_ ==
        error_kind::revision_gap);
    cr_assert(peer.keeper_.apply({deltas[1]}, apply_source::push).has_value());
    cr_assert(peer.keeper_.held() == revision{12});
    cr_assert(
        peer.keeper_.current()->tables().hash_ ==
        published.back()->tables().hash_);
    const auto kept = peer.keeper_.deltas_after(revision{3});
    cr_assert(kept && kept->size() == 2);
}

// Guards against a node that waits for ever, or takes a wrong state, when two
// readers have skipped different revisions.
Test(config_keeper, a_delta_that_spans_the_held_revision_asks_for_a_fetch)
{
    const auto published = make_published({3, 5, 9});
    const auto spanning = deltas_of_reader({published[0], published[2]});
    fixture peer;
    static_cast<void>(peer.keeper_.adopt(published[1], apply_source::poll));
    cr_assert(
        peer.keeper_.apply(spanning, apply_source::push).error().kind_ ==
        error_kind::revision_gap);
    cr_assert(peer.keeper_.held() == revision{5});
    // The node's own delta to the same revision still applies.
    const auto own = deltas_of_reader({published[1], published[2]});
    cr_assert(peer.keeper_.apply(own, apply_source::push).has_value());
    cr_assert(peer.keeper_.held() == revision{9});
}

// Guards against a waiting delta that is replaced by another reader's delta to
// the same revision, after which neither applies.
Test(config_keeper, deltas_of_two_readers_to_one_revision_both_wait)
{
    const auto published = make_published({10, 11, 12, 13});
    const auto first = deltas_of_reader({published[1], published[3]});
    const auto second = deltas_of_reader({published[2], published[3]});
    const auto missing = deltas_of_reader({published[0], published[1]});
    fixture peer;
    static_cast<void>(peer.keeper_.adopt(published[0], apply_source::poll));
    static_cast<void>(peer.keeper_.apply({first.back()}, apply_source::push));
    static_cast<void>(peer.keeper_.apply({second.back()}, apply_source::push));
    static_cast<void>(peer.keeper_.apply({missing.back()}, apply_source::push));
    cr_assert(peer.keeper_.held() == revision{13});
}

// Guards against a node that goes back, or runs rows that no operator
// published, whatever readers skip and in which order their deltas come
// (promises P1 and P3).
Test(config_keeper, deltas_of_several_readers_lead_to_published_states_only)
{
    cr_assert(rc::check(
        []
        {
            const auto published = make_published({2, 3, 7, 8, 12, 20, 21});
            std::vector<accepted_delta> deltas;
            for (int reader = 0; reader < 2; ++reader)
            {
                std::vector<std::shared_ptr<const config_snapshot>> seen;
                for (const auto& snapshot : published)
                {
                    if (*rc::gen::arbitrary<bool>())
                    {
                        seen.push_back(snapshot);
                    }
                }
                for (auto& delta : deltas_of_reader(seen))
                {
                    deltas.push_back(std::move(delta));
                }
            }
            fixture node;
            static_cast<void>(
                node.keeper_.adopt(published.front(), apply_source::poll));
            const auto order = *rc::gen::container<std::vector<std::size_t>>(
                rc::gen::inRange<std::size_t>(0, deltas.size() + 1));
            for (const auto index : order)
            {
                const auto before = node.keeper_.held();
                if (index < deltas.size())
                {
                    static_cast<void>(node.keeper_.apply(
                        {deltas[index]}, apply_source::push));
                }
                const auto held = node.keeper_.current();
                RC_ASSERT(held->number() >= before);
                const auto found = std::ranges::find(
                    published, held->number(),
                    [](const auto& snapshot)
                    {
                        return snapshot->number();
                    });
                RC_ASSERT(found != published.end());
                RC_ASSERT((*found)->tables().hash_ == held->tables().hash_);
            }
        }));
}

// Guards against a delta that is dropped because the one before it is still on
// its way, which costs a repair of several hundred milliseconds.
Test(config_keeper, deltas_that_overtake_each_other_are_all_applied)
{
    fixture under_test;
    const auto deltas = make_deltas(3);
    auto& keeper = under_test.keeper_;
    cr_assert(
        keeper.apply({deltas[2]}, apply_source::push).error().kind_ ==
        error_kind::revision_gap);
    cr_assert(
        keeper.apply({deltas[1]}, apply_source::push).error().kind_ ==
        error_kind::revision_gap);
    cr_assert(keeper.held() == revision{0});
    cr_assert(keeper.apply({deltas[0]}, apply_source::push).has_value());
    cr_assert(keeper.held() == revision{3});
}

// Guards against an order, a loss or a repetition that ends at another state
// than the accepted one.
Test(config_keeper, any_order_within_the_limit_ends_at_the_last_revision)
{
    cr_assert(rc::check(
        []
        {
            fixture under_test;
            const auto deltas = make_deltas(kept_deltas);
            const auto order = *rc::gen::container<std::vector<std::size_t>>(
                rc::gen::inRange<std::size_t>(0, kept_deltas));
            for (const auto index : order)
            {
                static_cast<void>(under_test.keeper_.apply(
                    {deltas[index]}, apply_source::push));
            }
            std::size_t expected = 0;
            while (std::ranges::find(order, expected) != order.end())
            {
                ++expected;
            }
            RC_ASSERT(under_test.keeper_.held() == revision{expected});
        }));
}

// Guards against a damaged delta that waits and is applied later.
Test(config_keeper, a_damaged_delta_is_dropped)
{
    fixture under_test;
    auto deltas = make_deltas(2);
    const auto good = deltas[1];
    deltas[1].delta_.result_hash_.add("damage");
    auto& keeper = under_test.keeper_;
    static_cast<void>(keeper.apply({deltas[1]}, apply_source::push));
    cr_assert(
        keeper.apply({deltas[0]}, apply_source::push).error().kind_ ==
        error_kind::hash_mismatch);
    cr_assert(keeper.held() == revision{1});
    cr_assert(keeper.apply({good}, apply_source::repair).has_value());
    cr_assert(keeper.held() == revision{2});
}
