#include "hemlockshelf/editing/change_archive.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include <fmt/format.h>

#include "hemlockshelf/core/manual_clock.hpp"
#include "hemlockshelf/editing/config_reader.hpp"
#include "hemlockshelf/editing/editor.hpp"
#include "hemlockshelf/editing/platform_tables.hpp"
#include "hemlockshelf/editing/snapshot_blob.hpp"
#include "standins/platform/memory_tables.hpp"
#include "test/editing/edit_samples.hpp"
#include "test/editing/faulty_tables.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

constexpr std::chrono::hours retention{24};

/// A platform with an editor whose edits are one second apart.
struct fixture
{
    explicit fixture(fault_rates rates = {})
        : faulty_(platform_, rates, 1),
          editor_(make_ports(platform_), vm_id{"vm-1"}, unlimited_settings()),
          delayed_editor_(
              make_ports(faulty_), vm_id{"vm-2"}, unlimited_settings())
    {}

    editor_ports make_ports(table_service& tables)
    {
        editor_ports ports;
        ports.tables_ = &tables;
        ports.time_ = &time_;
        ports.current_snapshot_ = [this]
        {
            return snapshot_;
        };
        ports.on_accepted_ = [this](const change_record&, const auto& snapshot)
        {
            snapshot_ = snapshot;
        };
        ports.sleep_ = [this](std::chrono::milliseconds time)
        {
            time_.advance(time);
        };
        return ports;
    }

    void make_revisions(int count)
    {
        for (int index = 0; index < count; ++index)
        {
            time_.advance(std::chrono::seconds{1});
            const auto id = fmt::format("c{}", snapshot_->number().value() + 1);
            cr_assert(
                editor_.submit(make_request(id, {pool_edit("regie/a", id)})));
        }
    }

    std::size_t archive(object_store& objects)
    {
        const auto moved = archive_changes(
            platform_, objects, snapshot_->number(), time_.wall_now(),
            retention);
        cr_assert(moved.has_value());
        return *moved;
    }

    std::size_t archive()
    {
        return archive(platform_);
    }

    std::uint64_t oldest_row()
    {
        return read_changes(platform_, revision{0}, 1)
            ->front()
            .delta_.to_.value();
    }

    bool knows_change_id(const std::string& id)
    {
        return platform_.read(platform_tables::change_ids, id)->has_value();
    }

    memory_tables platform_;
    faulty_tables faulty_;
    manual_clock time_;
    std::shared_ptr<const config_snapshot> snapshot_ = config_snapshot::empty();
    editor editor_;
    editor delayed_editor_;
};

/// An object store that is unavailable.
class unavailable_objects final : public object_store
{
public:
    result<void> put(const std::string&, const std::string&) override
    {
        return make_error(error_kind::platform_unavailable, "down");
    }

    result<std::optional<std::string>> get(const std::string&) override
    {
        return make_error(error_kind::platform_unavailable, "down");
    }

    result<void> remove(const std::string&) override
    {
        return make_error(error_kind::platform_unavailable, "down");
    }
};

} // namespace

// Guards against a delayed commit that arrives after the change row of its slot
// has been archived, and commits the same revision a second time.
Test(change_archive, a_delayed_commit_cannot_win_an_archived_revision)
{
    fault_rates rates;
    rates.delay_ = 1;
    fixture under_test(rates);
    under_test.make_revisions(50);
    const auto outcome = under_test.delayed_editor_.submit(
        make_request("late", {pool_edit("regie/b", "late")}));
    cr_assert(outcome.error().kind_ == error_kind::outcome_unknown);
    under_test.make_revisions(1250);
    under_test.time_.advance(retention);
    cr_assert(under_test.archive() == 200);
    under_test.faulty_.deliver_delayed();
    cr_assert(under_test.oldest_row() == 201);
    cr_assert(read_head(under_test.platform_)->revision_ == revision{1300});
    cr_assert(!under_test.knows_change_id("late"));
}

// Guards against unbounded growth of the `changes` table, and against the loss
// of the audit entries that are moved to the archive.
Test(change_archive, old_changes_are_moved_and_still_found)
{
    fixture under_test;
    under_test.make_revisions(1299);
    under_test.time_.advance(retention);
    cr_assert(under_test.archive() == 200);
    cr_assert(under_test.archive() == 0);
    cr_assert(under_test.oldest_row() == 201);
    cr_assert(!under_test.knows_change_id("c200"));
    cr_assert(under_test.knows_change_id("c201"));
    const auto page = read_history(
        under_test.platform_, under_test.platform_, revision{150}, 30);
    cr_assert(page->size() == 30);
    cr_assert(page->front().id_ == change_id{"c151"});
    cr_assert(page->front().audit_.actor_ == "operator");
    const auto next = read_history(
        under_test.platform_, under_test.platform_, revision{200}, 30);
    cr_assert(next->front().id_ == change_id{"c201"});
}

// Guards against the removal of recent rows, and of rows that a reader of an
// old snapshot blob still needs.
Test(change_archive, young_and_needed_changes_stay)
{
    fixture under_test;
    under_test.make_revisions(1250);
    cr_assert(under_test.archive() == 0);
    fixture few;
    few.make_revisions(1099);
    few.time_.advance(retention);
    cr_assert(few.archive() == 0);
}

// Guards against the removal of rows whose archive blob was not stored.
Test(change_archive, nothing_is_removed_while_the_object_store_is_down)
{
    fixture under_test;
    under_test.make_revisions(1200);
    under_test.time_.advance(retention);
    unavailable_objects down;
    const auto moved = archive_changes(
        under_test.platform_, down, revision{1200}, under_test.time_.wall_now(),
        retention);
    cr_assert(moved.error().kind_ == error_kind::platform_unavailable);
    cr_assert(under_test.oldest_row() == 1);
    const auto page = read_history(under_test.platform_, down, revision{0}, 10);
    cr_assert(page->size() == 10);
}

// Guards against a delayed removal that deletes a change ID that has been
// reused in the meantime.
Test(change_archive, a_delayed_removal_leaves_a_new_change_id_alone)
{
    fault_rates rates;
    rates.delay_ = 1;
    fixture under_test(rates);
    under_test.make_revisions(1200);
    under_test.time_.advance(retention);
    const auto delayed = archive_changes(
        under_test.faulty_, under_test.platform_, revision{1200},
        under_test.time_.wall_now(), retention);
    cr_assert(delayed.error().kind_ == error_kind::outcome_unknown);
    cr_assert(under_test.archive() == 200);
    cr_assert(under_test.editor_.submit(
        make_request("c7", {pool_edit("regie/a", "again")})));
    under_test.faulty_.deliver_delayed();
    cr_assert(under_test.knows_change_id("c7"));
}

// Guards against edits that are rejected when the change rows no longer start
// at revision 1.
Test(change_archive, edits_go_on_after_the_log_was_shortened)
{
    fixture under_test;
    under_test.make_revisions(1200);
    under_test.time_.advance(retention);
    under_test.archive();
    under_test.make_revisions(20);
    cr_assert(under_test.snapshot_->number() == revision{1220});
    cr_assert(
        read_changes(under_test.platform_, revision{1219}, 5)->size() == 1);
}
