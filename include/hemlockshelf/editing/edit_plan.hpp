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

/// An edit that passed every check against one base, ready to be committed.
struct edit_plan
{
    change_record record_;
    /// The configuration after the edit.
    std::shared_ptr<const config_snapshot> snapshot_;
    /// Checks that the slot of the next revision is free, which it is as long
    /// as the base is the newest revision, and that the change id is unused.
    transaction writes_;
};

/// Checks an edit against its base and plans its transaction. Every reference
/// of the base resolves, so that only the accounts that the edit touches are
/// checked and indexed again. The errors are `invalid_row`, `not_found` and
/// `quota_exceeded`.
result<edit_plan> plan_edit(
    const edit_request& request,
    const edit_base& base,
    const edit_quotas& quotas,
    wall_time now,
    const vm_id& vm);

} // namespace hemlockshelf

#endif
