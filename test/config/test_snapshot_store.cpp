#include "hemlockshelf/config/snapshot_store.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

// Guards against a proxy that goes back to an older revision (promise P1).
Test(snapshot_store, revisions_only_rise)
{
    snapshot_store store;
    const auto second = config_snapshot::build(revision{2}, {});
    const auto first = config_snapshot::build(revision{1}, {});
    cr_assert(store.advance(*second).has_value());
    cr_assert(
        store.advance(*first).error().kind_ == error_kind::stale_revision);
    cr_assert(
        store.advance(*second).error().kind_ == error_kind::stale_revision);
    cr_assert(store.current()->number() == revision{2});
}
