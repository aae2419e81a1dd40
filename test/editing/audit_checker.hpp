#ifndef HEMLOCKSHELF_TEST_EDITING_AUDIT_CHECKER_HPP
#define HEMLOCKSHELF_TEST_EDITING_AUDIT_CHECKER_HPP

#include <string>
#include <vector>

#include "hemlockshelf/editing/change_record.hpp"
#include "hemlockshelf/editing/table_service.hpp"
#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// Returns what differs between the audit entries and the changes: a row that
/// only one of them lists, content that differs, and a `before` that is not
/// what the changes before led to.
std::vector<std::string> check_audit(const std::vector<change_record>& records);

/// Returns what differs between the rows that the changes lead to and those
/// that the tables hold, and between the head and the last change.
std::vector<std::string> check_stored_rows(
    const std::vector<change_record>& records, table_service& tables);

/// Returns the changes in the form of the history checkers.
std::vector<committed_change>
to_history(const std::vector<change_record>& records);

} // namespace hemlockshelf

#endif
