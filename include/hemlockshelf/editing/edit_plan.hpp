#ifndef HEMLOCKSHELF_EDITING_EDIT_PLAN_HPP
#define HEMLOCKSHELF_EDITING_EDIT_PLAN_HPP

#include <memory>

#include "hemlockshelf/config/config_snapshot.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/editing/change_record.hpp"
#include "hemlockshelf/editing/edit_base.hpp"
#include "hemlockshelf/editing/edit_request.hpp"
#include "hemlockshelf/editing/editing_settings.hpp"
#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// A validated edit and the transaction that commits it.
struct edit_plan
{
    change_record record_;
    /// The configuration after the edit.
    std::shared_ptr<const config_snapshot> snapshot_;
    /// Writes the edit, on condition that the change ID is unused and that the
    /// slot of the next revision is free, which holds as long as the base is
    /// the newest revision.
    transaction writes_;
};

/// Validates an edit against its base and builds its transaction. All
/// references in the base are valid, so that only the accounts that the edit
/// affects are checked and indexed again. The errors are `invalid_row`,
/// `not_found` and `quota_exceeded`.
result<edit_plan> plan_edit(
    const edit_request& request,
    const edit_base& base,
    const edit_quotas& quotas,
    wall_time now,
    const vm_id& vm);

} // namespace hemlockshelf

#endif
