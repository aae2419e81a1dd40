#include "hemlockshelf/history/checkers.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

const row_value pool{
    table_id::pools, row_key{"regie/a"}, {{"service", "catalogue"}}};
const row_value route{
    table_id::routes, row_key{"regie/r"}, {{"pool", "regie/a"}}};
const row_value pool_deletion{table_id::pools, row_key{"regie/a"}, nullptr};

run_history two_changes()
{
    run_history history;
    history.changes_ = {
        {revision{1}, change_id{"a"}, {pool}},
        {revision{2}, change_id{"b"}, {route}}};
    return history;
}

rows_report report_at(std::uint64_t number, bool at_end)
{
    rows_report report{vm_id{"vm-1"}, revision{number}, {}, at_end};
    report.rows_[{pool.table_, pool.key_}] = pool.row_;
    if (number == 2)
    {
        report.rows_[{route.table_, route.key_}] = route.row_;
    }
    return report;
}

} // namespace

// Guards against false positives on a correct history.
Test(check_state, a_correct_history_passes)
{
    auto history = two_changes();
    history.rows_ = {report_at(1, false), report_at(2, true)};
    history.revisions_ = {
        {vm_id{"vm-1"}, 1, revision{1}, event_time{1}},
        {vm_id{"vm-1"}, 1, revision{2}, event_time{2}},
        {vm_id{"vm-1"}, 2, revision{0}, event_time{3}}};
    cr_assert(check_references(history).empty());
    cr_assert(check_in_force(history).empty());
    cr_assert(check_revisions_rise(history).empty());
}

// Guards against missing the deletion of a pool that a route refers to.
Test(check_state, a_dangling_route_is_found)
{
    auto history = two_changes();
    history.changes_.push_back({revision{3}, change_id{"c"}, {pool_deletion}});
    cr_assert(!check_references(history).empty());
}

// Guards against missing a node whose revision decreases.
Test(check_state, a_falling_revision_is_found)
{
    auto history = two_changes();
    history.revisions_ = {
        {vm_id{"vm-1"}, 1, revision{2}, event_time{1}},
        {vm_id{"vm-1"}, 1, revision{1}, event_time{2}}};
    cr_assert(!check_revisions_rise(history).empty());
}

// Guards against missing a node that is not at the last revision at the end.
Test(check_state, a_node_that_stays_behind_is_found)
{
    auto history = two_changes();
    history.rows_ = {report_at(1, true)};
    cr_assert(!check_in_force(history).empty());
}

// Guards against missing a partially applied revision.
Test(check_state, a_revision_that_is_applied_in_part_is_found)
{
    auto history = two_changes();
    history.rows_ = {report_at(2, false)};
    history.rows_.front().rows_.erase({pool.table_, pool.key_});
    cr_assert(!check_in_force(history).empty());
}

// Guards against missing a node that runs a revision that was never committed.
Test(check_state, a_revision_of_unknown_origin_is_found)
{
    auto history = two_changes();
    history.rows_ = {report_at(1, false)};
    history.rows_.front().revision_ = revision{9};
    cr_assert(!check_in_force(history).empty());
}
