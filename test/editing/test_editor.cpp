#include "hemlockshelf/editing/editor.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/manual_clock.hpp"
#include "hemlockshelf/editing/config_reader.hpp"
#include "standins/platform/memory_tables.hpp"
#include "test/editing/edit_samples.hpp"
#include "test/editing/faulty_tables.hpp"
#include "test/editing/observed_tables.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

struct fixture
{
    explicit fixture(fault_rates rates = {}, editing_settings settings = {})
        : faulty_(tables_, rates, 1),
          editor_(make_ports(faulty_), vm_id{"vm-1"}, settings)
    {}

    editor_ports make_ports(table_service& tables)
    {
        editor_ports ports;
        ports.tables_ = &tables;
        ports.time_ = &time_;
        ports.current_snapshot_ = [this]
        {
            return snapshots_.current();
        };
        ports.on_accepted_ = [this](const change_record&, const auto& snapshot)
        {
            cr_assert(snapshots_.advance(snapshot).has_value());
        };
        ports.sleep_ = [this](std::chrono::milliseconds time)
        {
            time_.advance(time);
        };
        return ports;
    }

    result<edit_outcome> submit(const char* id, std::vector<row_edit> edits)
    {
        // Spaces out the edits of a test, so that the quota accepts them.
        time_.advance(std::chrono::seconds{1});
        return editor_.submit(make_request(id, std::move(edits)));
    }

    error_kind error_of(const char* id, std::vector<row_edit> edits)
    {
        const auto outcome = submit(id, std::move(edits));
        cr_assert(!outcome.has_value());
        return outcome.error().kind_;
    }

    memory_tables tables_;
    faulty_tables faulty_;
    manual_clock time_;
    snapshot_store snapshots_;
    editor editor_;
};

bool contains(const std::string& text, const char* part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against an accepted edit without a change row or audit entry.
Test(editor, an_accepted_edit_is_recorded)
{
    fixture under_test;
    const auto outcome = under_test.submit("c1", {pool_edit("regie/a", "s")});
    cr_assert(outcome.has_value());
    cr_assert(outcome->revision_ == revision{1});
    cr_assert(under_test.snapshots_.current()->number() == revision{1});
    const auto records = read_changes(under_test.tables_, revision{0}, 10);
    cr_assert(records->size() == 1);
    cr_assert(records->front().audit_.actor_ == "operator");
    cr_assert(records->front().id_ == change_id{"c1"});
}

// Guards against a change that is committed twice when it is resubmitted.
Test(editor, the_same_change_id_is_accepted_once)
{
    fixture under_test;
    const auto first = under_test.submit("c1", {pool_edit("regie/a", "s")});
    const auto again = under_test.submit("c1", {pool_edit("regie/a", "s")});
    cr_assert(again.has_value());
    cr_assert(again->revision_ == first->revision_);
    cr_assert(under_test.snapshots_.current()->number() == revision{1});
}

// Guards against an accepted deletion that is rejected when it is resubmitted,
// because the row no longer exists.
Test(editor, a_repeated_deletion_gives_the_first_outcome)
{
    fixture under_test;
    under_test.submit("c1", {pool_edit("regie/a", "s")});
    const auto gone =
        with_expected_version(deletion(table_id::pools, "regie/a"), 1);
    const auto first = under_test.submit("c2", {gone});
    const auto again = under_test.submit("c2", {gone});
    cr_assert(again.has_value());
    cr_assert(again->revision_ == first->revision_);
}

// Guards against an edit that is reported as accepted because another edit with
// the same change ID was.
Test(editor, a_change_id_of_another_edit_is_a_conflict)
{
    fixture under_test;
    under_test.submit("c1", {pool_edit("regie/a", "s")});
    cr_assert(
        under_test.error_of("c1", {pool_edit("regie/b", "s")}) ==
        error_kind::conflict);
    cr_assert(
        under_test.error_of("c1", {pool_edit("regie/a", "t")}) ==
        error_kind::conflict);
}

// Guards against a version mismatch that is reported as an unknown outcome, or
// without the expected and the actual version.
Test(editor, a_failed_expected_version_is_a_conflict_at_once)
{
    fixture under_test;
    under_test.submit("c1", {pool_edit("regie/a", "seen")});
    const auto before = under_test.time_.now();
    const auto outcome = under_test.editor_.submit(make_request(
        "c2", {with_expected_version(pool_edit("regie/a", "new"), 7)}));
    cr_assert(outcome.error().kind_ == error_kind::conflict);
    cr_assert(contains(outcome.error().message_, "expected version 7"));
    cr_assert(contains(outcome.error().message_, "found version 1"));
    cr_assert(contains(outcome.error().message_, "\"seen\""));
    cr_assert(under_test.time_.now() == before);
    const auto absent = under_test.editor_.submit(make_request(
        "c3", {with_expected_version(pool_edit("regie/b", "new"), 7)}));
    cr_assert(contains(absent.error().message_, "found no row"));
    cr_assert(
        under_test
            .submit(
                "c4", {with_expected_version(pool_edit("regie/a", "new"), 1)})
            .has_value());
    cr_assert(
        under_test
            .submit(
                "c5", {with_expected_version(pool_edit("regie/b", "new"), 0)})
            .has_value());
}

// Guards against a dry run that passes although the edit would cause a
// conflict, or that writes to the tables.
Test(editor, a_dry_run_checks_everything_and_writes_nothing)
{
    fixture under_test;
    auto request = make_request("c1", {pool_edit("regie/a", "s")});
    request.dry_run_ = true;
    cr_assert(under_test.editor_.submit(request).has_value());
    cr_assert(read_head(under_test.tables_)->revision_ == revision{0});
    request.edits_ = {with_expected_version(pool_edit("regie/a", "s"), 3)};
    cr_assert(
        under_test.editor_.submit(request).error().kind_ ==
        error_kind::conflict);
}

// Guards against a route that is accepted without its pool (promise P2).
Test(editor, a_dangling_route_is_refused)
{
    fixture under_test;
    cr_assert(
        under_test.error_of("c1", {route_edit("regie/r", "regie/missing")}) ==
        error_kind::invalid_row);
}

// Guards against the deletion of a pool that a concurrently accepted route
// references.
Test(editor, deleting_a_pool_and_routing_to_it_are_not_both_accepted)
{
    fixture under_test;
    under_test.submit("c1", {pool_edit("regie/a", "s")});
    cr_assert(under_test.submit("c2", {route_edit("regie/r", "regie/a")})
                  .has_value());
    cr_assert(
        under_test.error_of("c3", {deletion(table_id::pools, "regie/a")}) ==
        error_kind::invalid_row);
    cr_assert(under_test
                  .submit(
                      "c4", {deletion(table_id::routes, "regie/r"),
                             deletion(table_id::pools, "regie/a")})
                  .has_value());
    cr_assert(
        under_test.error_of("c5", {route_edit("regie/r", "regie/a")}) ==
        error_kind::invalid_row);
}

// Guards against an edit that is partially accepted.
Test(editor, an_edit_is_refused_as_a_whole)
{
    fixture under_test;
    const auto good = pool_edit("regie/good", "s");
    cr_assert(
        under_test.error_of("c1", {good, pool_edit("guild/a", "s")}) ==
        error_kind::forbidden);
    cr_assert(
        under_test.error_of("c2", {good, good}) == error_kind::bad_request);
    cr_assert(
        under_test.error_of(
            "c3", {good, deletion(table_id::pools, "regie/absent")}) ==
        error_kind::not_found);
    cr_assert(
        under_test.error_of("c4", {good, with_expected_version(good, 1)}) ==
        error_kind::bad_request);
    cr_assert(read_head(under_test.tables_)->revision_ == revision{0});
}

// Guards against an edit that is reported with an unknown outcome although the
// outcome can be read back.
Test(editor, a_lost_answer_is_read_back)
{
    fixture under_test({0, 1, 0, 0});
    const auto outcome = under_test.submit("c1", {pool_edit("regie/a", "s")});
    cr_assert(outcome.has_value());
    cr_assert(outcome->revision_ == revision{1});
    cr_assert(under_test.snapshots_.current()->number() == revision{1});
}

// Guards against an unknown outcome that is reported as another error, without
// the change ID, or after an unbounded time.
Test(editor, an_outcome_that_cannot_be_learned_is_unknown)
{
    fixture under_test({0, 0, 1, 0});
    const auto before = under_test.time_.now();
    const auto outcome = under_test.submit("c1", {pool_edit("regie/a", "s")});
    cr_assert(outcome.error().kind_ == error_kind::outcome_unknown);
    cr_assert(contains(outcome.error().message_, "\"c1\""));
    cr_assert(under_test.time_.now() - before < std::chrono::seconds{10});
    cr_assert(
        under_test.editor_.find(change_id{"c1"}).error().kind_ ==
        error_kind::not_found);
}

// Guards against a definite rejection that is reported as an unknown outcome.
Test(editor, a_refusal_of_the_platform_is_certain)
{
    fixture under_test({1, 0, 0, 0});
    cr_assert(
        under_test.error_of("c1", {pool_edit("regie/a", "s")}) ==
        error_kind::platform_unavailable);
}

// Guards against an account that adds more rows than its quota allows.
Test(editor, rows_beyond_the_quota_are_refused)
{
    editing_settings settings;
    settings.quotas_.max_rows_ = 2;
    fixture under_test({}, settings);
    under_test.submit(
        "c1", {pool_edit("regie/a", "s"), pool_edit("regie/b", "s")});
    cr_assert(
        under_test.error_of("c2", {pool_edit("regie/c", "s")}) ==
        error_kind::quota_exceeded);
    cr_assert(under_test.submit("c3", {pool_edit("regie/a", "t")}).has_value());
    cr_assert(under_test
                  .submit(
                      "c4", {deletion(table_id::pools, "regie/a"),
                             pool_edit("regie/c", "s")})
                  .has_value());
}

// Guards against an account that exceeds its quota of accepted edits by using
// several nodes, and against a limit that applies beyond its window.
Test(editor, accepted_edits_are_counted_over_the_change_records)
{
    editing_settings settings;
    settings.quotas_.max_accepted_ = 2;
    fixture under_test({}, settings);
    editor other(
        under_test.make_ports(under_test.tables_), vm_id{"vm-2"}, settings);
    const auto edit = [](const char* id)
    {
        return make_request(id, {pool_edit("regie/a", id)});
    };
    cr_assert(under_test.editor_.submit(edit("c1")).has_value());
    cr_assert(other.submit(edit("c2")).has_value());
    cr_assert(
        under_test.editor_.submit(edit("c3")).error().kind_ ==
        error_kind::quota_exceeded);
    auto other_account = make_request("g1", {pool_edit("guild/a", "s")});
    other_account.account_ = client_account_id{"guild"};
    cr_assert(other.submit(other_account).has_value());
    under_test.time_.advance(std::chrono::milliseconds{1001});
    cr_assert(under_test.editor_.submit(edit("c3")).has_value());
}

// Guards against an edit that fails because of the platform's rate limit, and
// against a retry before the delay that the platform requested.
Test(editor, a_rate_limit_is_retried_after_the_named_time)
{
    constexpr std::chrono::milliseconds retry_after{700};
    fixture under_test;
    under_test.faulty_.limit_commits(2, retry_after);
    const auto before = under_test.time_.now();
    const auto outcome = under_test.editor_.submit(
        make_request("c1", {pool_edit("regie/a", "s")}));
    cr_assert(outcome.has_value());
    cr_assert(outcome->revision_ == revision{1});
    cr_assert(under_test.faulty_.commits() == 3);
    cr_assert(under_test.time_.now() - before >= 2 * retry_after);
    cr_assert(read_changes(under_test.tables_, revision{0}, 10)->size() == 1);
}

// Guards against retries of rate-limited commits only, not of reads.
Test(editor, a_rate_limit_of_reads_is_retried)
{
    fixture under_test;
    under_test.faulty_.limit_reads(2, {});
    const auto outcome = under_test.submit("c1", {pool_edit("regie/a", "s")});
    cr_assert(outcome.has_value());
    cr_assert(under_test.faulty_.commits() == 1);
}

// Guards against an edit that is retried after its deadline, or that waits for
// a retry that would start after the deadline.
Test(editor, a_rate_limit_is_not_retried_beyond_the_deadline)
{
    const editing_settings settings;
    fixture under_test;
    for (const auto retry_after :
         {std::chrono::milliseconds{0}, 2 * settings.retry_.give_up_after_})
    {
        under_test.faulty_.limit_commits(1'000'000, retry_after);
        const auto before = under_test.time_.now();
        const auto outcome = under_test.editor_.submit(
            make_request("c1", {pool_edit("regie/a", "s")}));
        cr_assert(!outcome.has_value());
        cr_assert(outcome.error().kind_ == error_kind::platform_unavailable);
        const auto taken = under_test.time_.now() - before;
        cr_assert(taken < settings.retry_.give_up_after_);
        cr_assert(retry_after.count() == 0 || taken.count() == 0);
    }
    cr_assert(read_changes(under_test.tables_, revision{0}, 10)->empty());
}

// Guards against a second write when the response to the retry is lost.
Test(editor, a_rate_limit_after_a_lost_answer_writes_once)
{
    fixture under_test;
    under_test.faulty_.limit_commits(1, {});
    under_test.faulty_.lose_next_response();
    const auto outcome = under_test.submit("c1", {pool_edit("regie/a", "s")});
    cr_assert(outcome.has_value());
    cr_assert(under_test.faulty_.commits() == 2);
    cr_assert(read_changes(under_test.tables_, revision{0}, 10)->size() == 1);
}

// Guards against a lost response that is reported as a rejection because the
// reads of the outcome are rate-limited.
Test(editor, a_rate_limit_of_every_read_back_leaves_the_outcome_unknown)
{
    const editing_settings settings;
    fixture under_test;
    cr_assert(under_test.submit("c0", {pool_edit("regie/b", "s")}).has_value());
    under_test.faulty_.lose_next_response();
    under_test.faulty_.limit_reads_after_commit(
        settings.retry_.max_read_backs_);
    cr_assert(
        under_test.error_of("c1", {pool_edit("regie/a", "s")}) ==
        error_kind::outcome_unknown);
    cr_assert(under_test.faulty_.commits() == 2);
    cr_assert(read_changes(under_test.tables_, revision{0}, 10)->size() == 2);
}

// Guards against an old change ID that is not recognized because the first
// commit was rate-limited.
Test(editor, a_rate_limit_does_not_hide_an_old_change_id)
{
    fixture under_test;
    cr_assert(under_test.submit("c1", {pool_edit("regie/a", "s")}).has_value());
    for (std::size_t count = 0; count <= recent_change_limit; ++count)
    {
        const auto id = "other-" + std::to_string(count);
        cr_assert(under_test.submit(id.c_str(), {pool_edit("regie/b", id)})
                      .has_value());
    }
    under_test.faulty_.limit_commits(1, {});
    cr_assert(
        under_test.error_of("c1", {pool_edit("regie/a", "t")}) ==
        error_kind::conflict);
}

// Guards against a node that has not processed an edit recently and reads
// hundreds of change rows for its next one. The limit follows from the target
// of 3 KB/s per node, with about 1.5 KB per row and an edit every 20 s at one
// node of ten.
Test(editor, the_first_edit_of_a_node_reads_few_change_rows)
{
    constexpr std::size_t max_rows = 40;
    fixture under_test;
    for (int number = 1; number <= 300; ++number)
    {
        const auto id = "c" + std::to_string(number);
        cr_assert(under_test.submit(id.c_str(), {pool_edit("regie/a", id)}));
    }
    observed_tables observed(under_test.tables_);
    editor other(under_test.make_ports(observed), vm_id{"vm-2"});
    under_test.time_.advance(std::chrono::seconds{1});
    cr_assert(other.submit(make_request("d1", {pool_edit("regie/a", "s")})));
    cr_assert_leq(observed.scanned_, max_rows);
}

// Guards against a quota that counts only the few rows of the first scan.
Test(editor, the_quota_counts_every_edit_of_its_window)
{
    editing_settings settings = unlimited_settings();
    settings.quotas_.max_accepted_ = 30;
    fixture under_test({}, settings);
    editor other(
        under_test.make_ports(under_test.tables_), vm_id{"vm-2"}, settings);
    for (int number = 1; number <= 30; ++number)
    {
        const auto id = "c" + std::to_string(number);
        cr_assert(under_test.editor_.submit(
            make_request(id, {pool_edit("regie/a", id)})));
    }
    cr_assert(
        other.submit(make_request("d1", {pool_edit("regie/a", "s")}))
            .error()
            .kind_ == error_kind::quota_exceeded);
}

// Guards against an edit that is reported as not committed although another
// node has committed it in the meantime, among changes that this node has not
// read.
Test(editor, an_edit_that_another_node_committed_is_not_called_busy)
{
    fixture under_test;
    observed_tables observed(under_test.tables_);
    editor racing(
        under_test.make_ports(observed), vm_id{"vm-2"}, unlimited_settings());
    const auto request = make_request("same", {pool_edit("regie/b", "s")});
    int commits = 0;
    observed.before_commit_ = [&]
    {
        ++commits;
        if (commits == 1)
        {
            under_test.submit("c1", {pool_edit("regie/a", "s")});
        }
        if (commits != 2)
        {
            return;
        }
        cr_assert(under_test.editor_.submit(request));
        for (int number = 2; number <= 22; ++number)
        {
            const auto id = "c" + std::to_string(number);
            under_test.submit(id.c_str(), {pool_edit("regie/a", id)});
        }
    };
    const auto outcome = racing.submit(request);
    cr_assert(outcome.has_value());
    cr_assert(outcome->revision_ == revision{2});
}
