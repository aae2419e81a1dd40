#include "hemlockshelf/config/revision_applier.hpp"

#include "hemlockshelf/core/manual_clock.hpp"
#include "test/config/row_generators.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

struct fixture
{
    snapshot_store store_;
    manual_clock time_;
    revision_applier applier_{store_, time_, nullptr};
};

row_change pool_change(const char* key)
{
    return {table_id::pools, row_key{key}, pool_row{service_name{"s"}, {}}};
}

} // namespace

// Guards against a state that does not match the last submitted revision.
Test(revision_applier, an_applied_delta_is_live)
{
    fixture under_test;
    cr_assert(under_test.applier_.state() == applier_state::idle);
    const auto delta =
        delta_after(*under_test.store_.current(), {pool_change("regie/a")});
    cr_assert(under_test.applier_.apply(delta).has_value());
    cr_assert(under_test.applier_.state() == applier_state::live);
    cr_assert(under_test.store_.current()->number() == revision{1});
}

// Guards against a node that fetches a full snapshot because deltas arrived out
// of order.
Test(revision_applier, deltas_out_of_order_leave_the_state_as_it_is)
{
    fixture under_test;
    auto delta =
        delta_after(*under_test.store_.current(), {pool_change("regie/a")});
    delta.to_ = revision{2};
    cr_assert(
        under_test.applier_.apply(delta).error().kind_ ==
        error_kind::revision_gap);
    cr_assert(under_test.applier_.state() == applier_state::idle);
    delta.to_ = revision{0};
    cr_assert(
        under_test.applier_.apply(delta).error().kind_ ==
        error_kind::stale_revision);
    cr_assert(under_test.applier_.state() == applier_state::idle);
}

// Guards against a node that cannot recover after an invalid delta.
Test(revision_applier, a_whole_revision_follows_a_rejected_delta)
{
    fixture under_test;
    auto delta =
        delta_after(*under_test.store_.current(), {pool_change("regie/a")});
    const auto good = delta.result_hash_;
    delta.result_hash_.add("damage");
    cr_assert(
        under_test.applier_.apply(delta).error().kind_ ==
        error_kind::hash_mismatch);
    cr_assert(under_test.applier_.state() == applier_state::rejected);
    cr_assert(under_test.store_.current()->number() == revision{0});
    const whole_revision whole{revision{7}, delta.changes_, good};
    cr_assert(under_test.applier_.apply(whole).has_value());
    cr_assert(under_test.applier_.state() == applier_state::live);
    cr_assert(
        under_test.applier_.apply(whole).error().kind_ ==
        error_kind::stale_revision);
    cr_assert(under_test.store_.current()->number() == revision{7});
}
