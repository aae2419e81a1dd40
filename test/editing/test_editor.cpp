#include "hemlockshelf/editing/editor.hpp"

#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/manual_clock.hpp"
#include "hemlockshelf/editing/config_reader.hpp"
#include "standins/platform/memory_tables.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

struct fixture
{
    memory_tables tables_;
    manual_clock time_;
    snapshot_store snapshots_;
    editor editor_{make_ports(), vm_id{"vm-1"}};

    editor_ports make_ports()
    {
        editor_ports ports;
        ports.tables_ = &tables_;
        ports.time_ = &time_;
        ports.held_ = [this]
        {
            return snapshots_.current();
        };
        ports.on_accepted_ = [this](const change_record&, const auto& snapshot)
        {
            cr_assert(snapshots_.advance(snapshot).has_value());
        };
        ports.pause_ = [](std::chrono::milliseconds) {};
        return ports;
    }
};

edit_request pool_edit(const char* id, const char* key)
{
    return {
        change_id{id},
        "operator",
        client_account_id{"regie"},
        false,
        {{{table_id::pools, row_key{key},
           pool_row{service_name{"catalogue"}, {}, false, 10}},
          std::nullopt}}};
}

edit_request route_edit(const char* id, const char* pool)
{
    route_row route;
    route.host_ = "catalogue.regie";
    route.pool_ = row_key{pool};
    return {
        change_id{id},
        "operator",
        client_account_id{"regie"},
        false,
        {{{table_id::routes, row_key{"regie/all"}, route}, std::nullopt}}};
}

} // namespace

// Guards against an accepted edit that has no change row or audit entry.
Test(editor, an_accepted_edit_is_recorded)
{
    fixture under_test;
    const auto outcome = under_test.editor_.submit(pool_edit("c1", "regie/a"));
    cr_assert(outcome.has_value());
    cr_assert(outcome->revision_ == revision{1});
    cr_assert(under_test.snapshots_.current()->number() == revision{1});
    const auto records = read_changes(under_test.tables_, revision{0}, 10);
    cr_assert(records->size() == 1);
    cr_assert(records->front().audit_.actor_ == "operator");
    cr_assert(records->front().id_ == change_id{"c1"});
}

// Guards against a change that is written twice when it is submitted again.
Test(editor, the_same_change_id_is_accepted_once)
{
    fixture under_test;
    const auto first = under_test.editor_.submit(pool_edit("c1", "regie/a"));
    const auto again = under_test.editor_.submit(pool_edit("c1", "regie/a"));
    cr_assert(again.has_value());
    cr_assert(again->revision_ == first->revision_);
    cr_assert(under_test.snapshots_.current()->number() == revision{1});
}

// Guards against a route that is accepted without its pool.
Test(editor, a_dangling_route_is_refused)
{
    fixture under_test;
    const auto outcome =
        under_test.editor_.submit(route_edit("c1", "regie/missing"));
    cr_assert(outcome.error().kind_ == error_kind::invalid_row);
}

// Guards against an account that edits another account's rows.
Test(editor, a_row_of_another_account_is_refused)
{
    fixture under_test;
    const auto outcome = under_test.editor_.submit(pool_edit("c1", "guild/a"));
    cr_assert(outcome.error().kind_ == error_kind::forbidden);
}
