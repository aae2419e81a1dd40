#include "hemlockshelf/history/checkers.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

std::vector<row_value> pool_rows(const char* service)
{
    return {{table_id::pools, row_key{"regie/a"}, {{"service", service}}}};
}

edit_record accepted(const char* id, std::uint64_t number, int from, int until)
{
    return {change_id{id},     pool_rows(id),         event_time{from},
            event_time{until}, edit_result::accepted, revision{number}};
}

committed_change change(const char* id, std::uint64_t number)
{
    return {revision{number}, change_id{id}, pool_rows(id)};
}

run_history two_edits()
{
    run_history history;
    history.edits_ = {accepted("a", 1, 0, 10), accepted("b", 2, 5, 20)};
    history.changes_ = {change("a", 1), change("b", 2)};
    return history;
}

} // namespace

// Guards against false positives on a correct history.
Test(check_edits, a_correct_history_passes)
{
    cr_assert(check_edits(two_edits()).empty());
}

// Guards against missing an accepted edit that was lost.
Test(check_edits, a_lost_edit_is_found)
{
    auto history = two_edits();
    history.changes_.pop_back();
    cr_assert(!check_edits(history).empty());
}

// Guards against missing a refused edit that was committed.
Test(check_edits, a_refused_edit_that_was_committed_is_found)
{
    auto history = two_edits();
    history.edits_.back().result_ = edit_result::refused;
    cr_assert(!check_edits(history).empty());
}

// Guards against missing two changes committed at the same revision.
Test(check_edits, a_revision_that_was_committed_twice_is_found)
{
    auto history = two_edits();
    history.changes_.push_back(change("c", 2));
    history.edits_.push_back(accepted("c", 2, 6, 20));
    cr_assert(!check_edits(history).empty());
}

// Guards against missing a change committed twice, as by a retry after a lost
// answer.
Test(check_edits, a_change_that_was_committed_twice_is_found)
{
    auto history = two_edits();
    history.changes_.push_back(change("b", 3));
    cr_assert(!check_edits(history).empty());
}

// Guards against missing a gap in the revisions.
Test(check_edits, a_missing_revision_is_found)
{
    auto history = two_edits();
    history.edits_.back().revision_ = revision{3};
    history.changes_.back().revision_ = revision{3};
    cr_assert(!check_edits(history).empty());
}

// Guards against missing an order of revisions that contradicts real time.
Test(check_edits, an_order_against_real_time_is_found)
{
    auto history = two_edits();
    history.edits_.front().invoked_at_ = event_time{30};
    history.edits_.front().answered_at_ = event_time{40};
    cr_assert(!check_edits(history).empty());
}

// Guards against missing an answer whose revision is not the committed one.
Test(check_edits, an_answer_with_a_wrong_revision_is_found)
{
    auto history = two_edits();
    std::swap(history.changes_[0].revision_, history.changes_[1].revision_);
    cr_assert(!check_edits(history).empty());
}

// Guards against missing committed rows that differ from the edited ones.
Test(check_edits, changed_rows_are_found)
{
    auto history = two_edits();
    history.changes_.back().rows_ = pool_rows("other");
    cr_assert(!check_edits(history).empty());
}

// Guards against missing a change that belongs to no edit.
Test(check_edits, a_change_of_unknown_origin_is_found)
{
    auto history = two_edits();
    history.changes_.push_back(change("c", 3));
    cr_assert(!check_edits(history).empty());
}

// Guards against treating an unknown outcome as accepted or refused.
Test(check_edits, an_unknown_edit_may_be_committed_or_not)
{
    auto history = two_edits();
    history.edits_.back().result_ = edit_result::unknown;
    cr_assert(check_edits(history).empty());
    history.changes_.pop_back();
    cr_assert(check_edits(history).empty());
}
