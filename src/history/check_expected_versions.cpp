#include <map>
#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/history/checkers.hpp"
#include "hemlockshelf/history/replay.hpp"

namespace hemlockshelf {

namespace {

using row_id = std::pair<table_id, row_key>;

/// The last edit of a row with `expected_version`, in the order of revisions.
struct last_edit
{
    std::uint64_t version_ = 0;
    change_id id_;
};

std::map<change_id, const edit_record*> index_edits(const run_history& history)
{
    std::map<change_id, const edit_record*> edits;
    for (const auto& edit : history.edits_)
    {
        edits.emplace(edit.id_, &edit);
    }
    return edits;
}

nlohmann::json row_before(
    const std::map<revision, row_state>& states,
    revision number,
    const row_id& row)
{
    const auto state = states.lower_bound(number);
    if (state == states.begin())
    {
        return nullptr;
    }
    const auto& rows = std::prev(state)->second;
    const auto found = rows.find(row);
    return found == rows.end() ? nlohmann::json() : found->second;
}

void check_replaced_content(
    const edit_record& edit,
    const expected_row& expected,
    const nlohmann::json& replaced,
    violations& found)
{
    if (replaced != expected.row_)
    {
        found.push_back(fmt::format(
            "edit {}: expected version {} of {} with {}, replaced {}",
            edit.id_.value(), expected.version_, expected.key_.value(),
            expected.row_.dump(), replaced.dump()));
    }
}

void check_version_order(
    const edit_record& edit,
    const expected_row& expected,
    std::map<row_id, last_edit>& last,
    violations& found)
{
    if (expected.version_ == 0)
    {
        return;
    }
    auto& before = last[{expected.table_, expected.key_}];
    if (expected.version_ <= before.version_)
    {
        found.push_back(fmt::format(
            "edit {} replaced version {} of {} after {} had replaced version "
            "{}",
            edit.id_.value(), expected.version_, expected.key_.value(),
            before.id_.value(), before.version_));
    }
    before = {expected.version_, edit.id_};
}

} // namespace

violations check_expected_versions(const run_history& history)
{
    violations found;
    const auto edits = index_edits(history);
    const auto states = replay(history.changes_);
    std::map<revision, change_id> committed;
    for (const auto& change : history.changes_)
    {
        committed.emplace(change.revision_, change.id_);
    }
    std::map<row_id, last_edit> last;
    // Edits whose outcome is unknown to the operator are included if they
    // committed.
    for (const auto& [number, id] : committed)
    {
        const auto edit = edits.find(id);
        if (edit == edits.end())
        {
            continue;
        }
        for (const auto& expected : edit->second->expected_)
        {
            check_replaced_content(
                *edit->second, expected,
                row_before(states, number, {expected.table_, expected.key_}),
                found);
            check_version_order(*edit->second, expected, last, found);
        }
    }
    return found;
}

} // namespace hemlockshelf
