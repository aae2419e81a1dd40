#ifndef HEMLOCKSHELF_EDITING_EDIT_CHECKS_HPP
#define HEMLOCKSHELF_EDITING_EDIT_CHECKS_HPP

#include <vector>

#include "hemlockshelf/config/config_tables.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/editing/edit_base.hpp"
#include "hemlockshelf/editing/edit_request.hpp"
#include "hemlockshelf/editing/editing_settings.hpp"

namespace hemlockshelf {

/// Runs the checks that do not depend on the current configuration. The errors
/// are `forbidden` for a row of another account and `bad_request` for a row
/// that is listed twice.
result<void> check_request(const edit_request& request);

/// Checks that every row that the edit deletes exists. The error is
/// `not_found`.
result<void>
check_deletions(const edit_request& request, const config_tables& before);

/// Checks the number of rows of the account. The error is `quota_exceeded`; an
/// edit that does not increase the number passes.
result<void> check_row_quota(
    const client_account_id& account,
    const config_tables& before,
    const config_tables& after,
    const edit_quotas& quotas);

/// Checks the number of accepted edits of the account within the quota window
/// that ends at `now`. The error is `quota_exceeded`.
result<void> check_accepted_quota(
    const client_account_id& account,
    const std::vector<recent_change>& recent,
    wall_time now,
    const edit_quotas& quotas);

} // namespace hemlockshelf

#endif
