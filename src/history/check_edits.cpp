#include "hemlockshelf/history/checkers.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>

namespace hemlockshelf {

namespace {

using changes_by_id = std::map<change_id, const committed_change*>;

void check_revision_numbers(const run_history& history, violations& found)
{
    std::set<revision> numbers;
    for (const auto& change : history.changes_)
    {
        if (!numbers.insert(change.revision_).second)
        {
            found.push_back(fmt::format(
                "revision {} was committed twice", change.revision_.value()));
        }
    }
    std::uint64_t expected = 1;
    for (const auto number : numbers)
    {
        if (number.value() != expected)
        {
            found.push_back(fmt::format(
                "revision {} is missing, the next one is {}", expected,
                number.value()));
            return;
        }
        ++expected;
    }
}

changes_by_id index_changes(const run_history& history, violations& found)
{
    changes_by_id changes;
    for (const auto& change : history.changes_)
    {
        if (!changes.emplace(change.id_, &change).second)
        {
            found.push_back(fmt::format(
                "change {} was committed twice", change.id_.value()));
        }
    }
    return changes;
}

/// Compares only the fields given by the operator, because the stored row may
/// also contain defaults.
bool same_row(const row_value& edited, const row_value& committed)
{
    if (edited.row_.is_null() || committed.row_.is_null())
    {
        return edited.row_.is_null() == committed.row_.is_null();
    }
    return std::ranges::all_of(
        edited.row_.items(),
        [&committed](const auto& field)
        {
            return committed.row_.contains(field.key()) &&
                   committed.row_.at(field.key()) == field.value();
        });
}

bool same_rows(const edit_record& edit, const committed_change& change)
{
    return edit.rows_.size() == change.rows_.size() &&
           std::ranges::all_of(
               edit.rows_,
               [&change](const row_value& row)
               {
                   return std::ranges::any_of(
                       change.rows_,
                       [&row](const row_value& other)
                       {
                           return row.table_ == other.table_ &&
                                  row.key_ == other.key_ &&
                                  same_row(row, other);
                       });
               });
}

void check_edit_result(
    const edit_record& edit, const changes_by_id& changes, violations& found)
{
    const auto change = changes.find(edit.id_);
    const bool committed = change != changes.end();
    if (edit.result_ == edit_result::refused && committed)
    {
        found.push_back(fmt::format(
            "edit {} was refused but is committed", edit.id_.value()));
    }
    if (edit.result_ == edit_result::accepted && !committed)
    {
        found.push_back(fmt::format(
            "edit {} was accepted but is not committed", edit.id_.value()));
    }
    if (edit.result_ == edit_result::accepted && committed &&
        change->second->revision_ != edit.revision_)
    {
        found.push_back(fmt::format(
            "edit {}: answered with revision {}, but committed at {}",
            edit.id_.value(), edit.revision_.value(),
            change->second->revision_.value()));
    }
    if (committed && !same_rows(edit, *change->second))
    {
        found.push_back(fmt::format(
            "edit {}: the committed rows differ from the edited ones",
            edit.id_.value()));
    }
}

void check_real_time_order(const run_history& history, violations& found)
{
    std::map<revision, const edit_record*> by_revision;
    for (const auto& edit : history.edits_)
    {
        if (edit.result_ == edit_result::accepted)
        {
            by_revision.emplace(edit.revision_, &edit);
        }
    }
    const edit_record* last_invoked = nullptr;
    for (const auto& [number, edit] : by_revision)
    {
        if (last_invoked != nullptr &&
            edit->answered_at_ < last_invoked->invoked_at_)
        {
            found.push_back(fmt::format(
                "edit {} was answered before {} was invoked, but has the "
                "higher revision {}",
                edit->id_.value(), last_invoked->id_.value(), number.value()));
        }
        if (last_invoked == nullptr ||
            edit->invoked_at_ > last_invoked->invoked_at_)
        {
            last_invoked = edit;
        }
    }
}

void check_change_origins(const run_history& history, violations& found)
{
    std::set<change_id> known;
    for (const auto& edit : history.edits_)
    {
        known.insert(edit.id_);
    }
    for (const auto& change : history.changes_)
    {
        if (!known.contains(change.id_))
        {
            found.push_back(fmt::format(
                "change {} does not belong to any edit", change.id_.value()));
        }
    }
}

} // namespace

violations check_edits(const run_history& history)
{
    violations found;
    check_revision_numbers(history, found);
    const auto changes = index_changes(history, found);
    for (const auto& edit : history.edits_)
    {
        check_edit_result(edit, changes, found);
    }
    check_real_time_order(history, found);
    check_change_origins(history, found);
    return found;
}

} // namespace hemlockshelf
