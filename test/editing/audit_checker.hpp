#ifndef HEMLOCKSHELF_TEST_EDITING_AUDIT_CHECKER_HPP
#define HEMLOCKSHELF_TEST_EDITING_AUDIT_CHECKER_HPP

#include <string>
#include <vector>

#include "hemlockshelf/editing/change_record.hpp"
#include "hemlockshelf/editing/table_service.hpp"
#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// Returns the differences between the audit entries and the changes: rows that
/// only one of them lists, different content, and `before` values that do not
/// match the result of the preceding changes.
std::vector<std::string> check_audit(const std::vector<change_record>& records);

/// Returns the differences between the rows that result from the changes and
/// the rows in the tables, and between the head row and the last change.
std::vector<std::string> check_stored_rows(
    const std::vector<change_record>& records, table_service& tables);

/// Converts the records to the input of the history checkers.
std::vector<committed_change>
to_history(const std::vector<change_record>& records);

} // namespace hemlockshelf

#endif
