#include "hemlockshelf/history/checkers.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

const row_key key{"regie/a"};

nlohmann::json pool(int limit)
{
    return {{"service", "catalogue"}, {"max_concurrent_calls", limit}};
}

void add_edit(
    run_history& history,
    const char* id,
    std::uint64_t version,
    const nlohmann::json& read,
    const nlohmann::json& written)
{
    const revision number{history.changes_.size() + 1};
    const std::vector<row_value> rows{{table_id::pools, key, written}};
    edit_record edit;
    edit.id_ = change_id{id};
    edit.rows_ = rows;
    edit.result_ = edit_result::accepted;
    edit.revision_ = number;
    edit.expected_ = {{table_id::pools, key, version, read}};
    history.edits_.push_back(std::move(edit));
    history.changes_.push_back({number, change_id{id}, rows});
}

/// Returns a history in which a row is created, replaced, deleted and created
/// again.
run_history chain()
{
    run_history history;
    add_edit(history, "create", 0, nullptr, pool(1));
    add_edit(history, "replace", 4, pool(1), pool(2));
    add_edit(history, "delete", 8, pool(2), nullptr);
    add_edit(history, "create-again", 0, nullptr, pool(3));
    return history;
}

} // namespace

// Guards against false positives on a correct chain.
Test(check_expected_versions, a_chain_passes)
{
    cr_assert(check_expected_versions(chain()).empty());
}

// Guards against missing two edits that replaced the same version.
Test(check_expected_versions, a_version_that_is_replaced_twice_is_found)
{
    run_history history;
    add_edit(history, "create", 0, nullptr, pool(1));
    add_edit(history, "first", 4, pool(1), pool(2));
    add_edit(history, "second", 4, pool(1), pool(3));
    cr_assert(!check_expected_versions(history).empty());
}

// Guards against missing a version that was replaced twice with equal content,
// which a comparison of contents cannot detect.
Test(check_expected_versions, a_repeated_version_of_equal_content_is_found)
{
    run_history history;
    add_edit(history, "create", 0, nullptr, pool(1));
    add_edit(history, "first", 4, pool(1), pool(1));
    add_edit(history, "second", 4, pool(1), pool(1));
    cr_assert_eq(check_expected_versions(history).size(), 1U);
}

// Guards against missing the creation of a row that already exists.
Test(check_expected_versions, a_creation_over_a_row_is_found)
{
    run_history history;
    add_edit(history, "create", 0, nullptr, pool(1));
    add_edit(history, "second", 0, nullptr, pool(2));
    cr_assert(!check_expected_versions(history).empty());
}

// Guards against missing an edit that overwrote the unread content of an edit
// without `expected_version`.
Test(check_expected_versions, an_overwritten_plain_edit_is_found)
{
    run_history history;
    add_edit(history, "create", 0, nullptr, pool(1));
    add_edit(history, "plain", 0, nullptr, pool(9));
    history.edits_.back().expected_.clear();
    add_edit(history, "replace", 4, pool(1), pool(2));
    cr_assert(!check_expected_versions(history).empty());
}

// Guards against ignoring a committed edit whose outcome is unknown.
Test(check_expected_versions, an_unknown_edit_that_committed_is_checked)
{
    run_history history;
    add_edit(history, "create", 0, nullptr, pool(1));
    add_edit(history, "first", 4, pool(1), pool(2));
    add_edit(history, "second", 4, pool(1), pool(3));
    history.edits_[1].result_ = edit_result::unknown;
    cr_assert(!check_expected_versions(history).empty());
}

// Guards against missing a version that decreases from one revision to the
// next.
Test(check_expected_versions, a_falling_version_is_found)
{
    run_history history;
    add_edit(history, "create", 0, nullptr, pool(1));
    add_edit(history, "first", 8, pool(1), pool(2));
    add_edit(history, "second", 4, pool(2), pool(3));
    cr_assert(!check_expected_versions(history).empty());
}
