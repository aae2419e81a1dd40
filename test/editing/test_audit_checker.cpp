#include "test/editing/audit_checker.hpp"

#include "hemlockshelf/config/row_codec.hpp"
#include "standins/platform/memory_tables.hpp"
#include "test/editing/edit_samples.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

change_record record_of(std::uint64_t number, const char* service)
{
    const auto change = pool_edit("regie/a", service).change_;
    change_record record;
    record.id_ = change_id{service};
    record.delta_ = {revision{number}, {change}, {}};
    record.audit_.rows_ = {
        {change.table_,
         change.key_,
         {},
         to_json(std::get<pool_row>(change.row_))}};
    return record;
}

std::vector<change_record> two_changes()
{
    std::vector<change_record> records{
        record_of(1, "one"), record_of(2, "two")};
    records[1].audit_.rows_[0].before_ = records[0].audit_.rows_[0].after_;
    return records;
}

} // namespace

// Guards against a checker that reports a correct audit.
Test(audit_checker, a_correct_audit_passes)
{
    cr_assert(check_audit(two_changes()).empty());
}

// Guards against a checker that does not detect a changed row that is missing
// in the audit entry.
Test(audit_checker, a_missing_row_is_found)
{
    auto records = two_changes();
    records[1].audit_.rows_.clear();
    cr_assert(!check_audit(records).empty());
}

// Guards against a checker that does not detect a wrong `after`.
Test(audit_checker, a_wrong_after_is_found)
{
    auto records = two_changes();
    records[1].audit_.rows_[0].after_ = nullptr;
    cr_assert(!check_audit(records).empty());
}

// Guards against a checker that does not detect a wrong `before`.
Test(audit_checker, a_wrong_before_is_found)
{
    auto records = two_changes();
    records[1].audit_.rows_[0].before_ = nullptr;
    cr_assert(!check_audit(records).empty());
}

// Guards against a checker that does not detect a change that is missing in the
// tables.
Test(audit_checker, rows_that_differ_from_the_changes_are_found)
{
    memory_tables tables;
    cr_assert(check_stored_rows(two_changes(), tables).size() == 2);
}
