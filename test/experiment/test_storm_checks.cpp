#include "experiment/storm_checks.hpp"

#include "experiment/storm_documents.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

/// Two versions, of which the first is replaced after 1 s, and one node.
storm_history make_history(std::vector<revision_report> revisions)
{
    return {
        {{revision{3}, 10s}, {revision{7}, 11s}},
        {{vm_id{"a"}, 1, 0s, std::nullopt}},
        std::move(revisions),
        {}};
}

revision_report report(std::uint64_t number, event_time at)
{
    return {vm_id{"a"}, 1, revision{number}, at};
}

} // namespace

// Guards against a reported violation when a later version replaced one before
// the node received it.
Test(storm_checks, a_later_version_serves_for_an_earlier_one)
{
    const auto history = make_history({report(7, 12s)});
    cr_assert(check_in_force_in_time(history, 3s).empty());
    cr_assert(slowest_time(history) == 2s);
}

// Guards against late or missing versions that are not reported.
Test(storm_checks, a_late_or_missing_version_is_found)
{
    const auto late = make_history({report(3, 11s), report(7, 14001ms)});
    cr_assert_eq(check_in_force_in_time(late, 3s).size(), 1);
    const auto missing = make_history({report(3, 11s)});
    cr_assert_eq(check_in_force_in_time(missing, 3s).size(), 1);
    cr_assert_eq(check_in_force_in_time(make_history({}), 3s).size(), 2);
}

// Guards against violations reported for versions published after a process was
// killed, and against counting revisions of the killed process for the
// restarted one.
Test(storm_checks, processes_of_a_node_are_judged_apart)
{
    auto history = make_history({report(3, 11s)});
    history.runs_.front().ended_at_ = 11500ms;
    history.runs_.push_back({vm_id{"a"}, 2, 20s, std::nullopt});
    cr_assert_eq(check_in_force_in_time(history, 3s).size(), 2);
    history.revisions_.push_back({vm_id{"a"}, 2, revision{7}, 22s});
    cr_assert(check_in_force_in_time(history, 3s).empty());
}

// Guards against calls handled by an old version that are not reported, and
// against reporting refused calls and those sent before the version was due.
Test(storm_checks, a_call_handled_by_an_old_version_is_found)
{
    auto history = make_history({report(7, 12s)});
    const auto call = [](event_time sent_at, std::string kind)
    {
        request_record record;
        record.path_ = path_of_version(revision{7});
        record.sent_at_ = sent_at;
        record.error_ = std::move(kind);
        return record;
    };
    history.calls_ = {
        call(13999ms, "no_route"), call(14001ms, "not_ready"),
        call(14001ms, "no_upstream")};
    cr_assert(check_calls_know_versions(history, 3s).empty());
    history.calls_.push_back(call(14001ms, "no_route"));
    cr_assert_eq(check_calls_know_versions(history, 3s).size(), 1);
}

// Guards against a broken version that nodes are expected to run or may run.
Test(storm_checks, a_broken_version_is_never_in_force)
{
    auto history = make_history({report(3, 11s)});
    history.versions_.back().readable_ = false;
    cr_assert(check_in_force_in_time(history, 3s).empty());
    cr_assert(check_published_only(history).empty());
    history.revisions_.push_back(report(7, 12s));
    cr_assert_eq(check_published_only(history).size(), 1);
    history.revisions_.back().revision_ = revision{5};
    cr_assert_eq(check_published_only(history).size(), 1);
}

// Guards against a node that reads every version while it joins.
Test(storm_checks, a_joining_node_may_read_once)
{
    auto history = make_history({});
    history.runs_.front().joining_reads_ = 1;
    history.runs_.front().joined_reads_ = 9;
    cr_assert(check_joining_reads(history).empty());
    history.runs_.front().joining_reads_ = 2;
    cr_assert_eq(check_joining_reads(history).size(), 1);
}

// Guards against a limit that rejects the permitted number of readers or
// accepts one more.
Test(storm_checks, one_reader_too_many_is_found)
{
    cr_assert(check_reader_count({"a", "b"}, 2).empty());
    cr_assert_eq(check_reader_count({"a", "b", "c"}, 2).size(), 1);
}

// Guards against nodes that run the same revision with different content.
Test(storm_checks, nodes_end_with_the_same_content)
{
    const final_state good{vm_id{"a"}, revision{7}, "x"};
    cr_assert(check_final_states({good, good}, revision{7}).empty());
    cr_assert_eq(check_final_states({good, good}, revision{9}).size(), 2);
    const final_state other{vm_id{"b"}, revision{7}, "y"};
    cr_assert_eq(check_final_states({good, other}, revision{7}).size(), 1);
}
