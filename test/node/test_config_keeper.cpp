#include "node/config_manager.hpp"

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
    config_manager config_{snapshots_, time_, metrics_, kept_deltas};
};

/// Returns deltas to the revisions from 1 to `count`, each of which changes one
/// pool.
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

/// Returns published snapshots with gaps between their revisions, each of which
/// changes one pool.
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

/// Returns the deltas that a reader pushes if it reads only the snapshots
/// `seen`.
std::vector<accepted_delta> deltas_of_reader(
    const std::vector<std::shared_ptr<const config_snapshot>>& seen)
{
    fixture reader;
    std::vector<accepted_delta> deltas;
    for (const auto& snapshot : seen)
    {
        const auto delta =
            reader.config_.apply_snapshot(snapshot, apply_source::poll);
        if (delta)
        {
            deltas.push_back(*delta);
        }
    }
    return deltas;
}

} // namespace

// Guards against published revisions that peers can only fetch as whole
// snapshots, because the delta between them has a gap.
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
        peer.config_.apply_snapshot(published.front(), apply_source::repair));
    cr_assert(
        peer.config_.apply({deltas[2]}, apply_source::push).error().kind_ ==
        error_kind::revision_gap);
    cr_assert(peer.config_.apply({deltas[1]}, apply_source::push).has_value());
    cr_assert(peer.config_.current_revision() == revision{12});
    cr_assert(
        peer.config_.current()->tables().hash_ ==
        published.back()->tables().hash_);
    const auto kept = peer.config_.deltas_after(revision{3});
    cr_assert(kept && kept->size() == 2);
}

// Guards against a node that waits forever, or reaches a wrong state, when two
// readers have skipped different revisions.
Test(config_keeper, a_delta_that_spans_the_held_revision_asks_for_a_fetch)
{
    const auto published = make_published({3, 5, 9});
    const auto spanning = deltas_of_reader({published[0], published[2]});
    fixture peer;
    static_cast<void>(
        peer.config_.apply_snapshot(published[1], apply_source::poll));
    cr_assert(
        peer.config_.apply(spanning, apply_source::push).error().kind_ ==
        error_kind::revision_gap);
    cr_assert(peer.config_.current_revision() == revision{5});
    // The node's own delta to the same revision still applies.
    const auto own = deltas_of_reader({published[1], published[2]});
    cr_assert(peer.config_.apply(own, apply_source::push).has_value());
    cr_assert(peer.config_.current_revision() == revision{9});
}

// Guards against a queued delta that is replaced by another reader's delta to
// the same revision, so that neither can be applied.
Test(config_keeper, deltas_of_two_readers_to_one_revision_both_wait)
{
    const auto published = make_published({10, 11, 12, 13});
    const auto first = deltas_of_reader({published[1], published[3]});
    const auto second = deltas_of_reader({published[2], published[3]});
    const auto missing = deltas_of_reader({published[0], published[1]});
    fixture peer;
    static_cast<void>(
        peer.config_.apply_snapshot(published[0], apply_source::poll));
    static_cast<void>(peer.config_.apply({first.back()}, apply_source::push));
    static_cast<void>(peer.config_.apply({second.back()}, apply_source::push));
    static_cast<void>(peer.config_.apply({missing.back()}, apply_source::push));
    cr_assert(peer.config_.current_revision() == revision{13});
}

// Guards against a node that goes back to an older revision, or applies rows
// that no operator published, whichever revisions the readers skip and in
// whichever order their deltas arrive (promises P1 and P3).
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
            static_cast<void>(node.config_.apply_snapshot(
                published.front(), apply_source::poll));
            const auto order = *rc::gen::container<std::vector<std::size_t>>(
                rc::gen::inRange<std::size_t>(0, deltas.size() + 1));
            for (const auto index : order)
            {
                const auto before = node.config_.current_revision();
                if (index < deltas.size())
                {
                    static_cast<void>(node.config_.apply(
                        {deltas[index]}, apply_source::push));
                }
                const auto current = node.config_.current();
                RC_ASSERT(current->number() >= before);
                const auto found = std::ranges::find(
                    published, current->number(),
                    [](const auto& snapshot)
                    {
                        return snapshot->number();
                    });
                RC_ASSERT(found != published.end());
                RC_ASSERT((*found)->tables().hash_ == current->tables().hash_);
            }
        }));
}

// Guards against a delta that is dropped because the preceding one has not
// arrived yet, which costs a repair of several hundred milliseconds.
Test(config_keeper, deltas_that_overtake_each_other_are_all_applied)
{
    fixture under_test;
    const auto deltas = make_deltas(3);
    auto& config = under_test.config_;
    cr_assert(
        config.apply({deltas[2]}, apply_source::push).error().kind_ ==
        error_kind::revision_gap);
    cr_assert(
        config.apply({deltas[1]}, apply_source::push).error().kind_ ==
        error_kind::revision_gap);
    cr_assert(config.current_revision() == revision{0});
    cr_assert(config.apply({deltas[0]}, apply_source::push).has_value());
    cr_assert(config.current_revision() == revision{3});
}

// Guards against reordering, loss or duplication of deltas that leads to a
// state other than the accepted one.
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
                static_cast<void>(under_test.config_.apply(
                    {deltas[index]}, apply_source::push));
            }
            std::size_t expected = 0;
            while (std::ranges::find(order, expected) != order.end())
            {
                ++expected;
            }
            RC_ASSERT(
                under_test.config_.current_revision() == revision{expected});
        }));
}

// Guards against a node that falls further behind because it builds a snapshot
// for each of the revisions that it missed.
Test(config_keeper, missed_revisions_are_applied_as_one)
{
    constexpr std::size_t missed = 9;
    fixture under_test;
    auto& config = under_test.config_;
    const auto deltas = make_deltas(missed);
    cr_assert(config.apply(deltas, apply_source::repair).has_value());
    cr_assert(config.current_revision() == revision{missed});
    cr_assert(
        config.current()->tables().hash_ == deltas.back().delta_.result_hash_);
    cr_assert(config.deltas_after(revision{0})->size() == missed);
    cr_assert(
        under_test.metrics_.to_text().find(
            "hemlockshelf_config_applies_total{source=\"repair\"} 1\n") !=
        std::string::npos);
}

// Guards against a corrupt delta that is queued and applied later.
Test(config_keeper, a_damaged_delta_is_dropped)
{
    fixture under_test;
    auto deltas = make_deltas(2);
    const auto good = deltas[1];
    deltas[1].delta_.result_hash_.add("damage");
    auto& config = under_test.config_;
    static_cast<void>(config.apply({deltas[1]}, apply_source::push));
    cr_assert(
        config.apply({deltas[0]}, apply_source::push).error().kind_ ==
        error_kind::hash_mismatch);
    cr_assert(config.current_revision() == revision{1});
    cr_assert(config.apply({good}, apply_source::repair).has_value());
    cr_assert(config.current_revision() == revision{2});
}
