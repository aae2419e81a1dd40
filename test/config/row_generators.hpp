#ifndef HEMLOCKSHELF_TEST_CONFIG_ROW_GENERATORS_HPP
#define HEMLOCKSHELF_TEST_CONFIG_ROW_GENERATORS_HPP

#include <vector>

#include <rapidcheck.h>

#include "hemlockshelf/config/config_delta.hpp"
#include "hemlockshelf/config/config_snapshot.hpp"

namespace hemlockshelf {

/// Generators of valid rows. They use few names, so that rows refer to and
/// overwrite each other.
rc::Gen<route_row> any_route();
rc::Gen<pool_row> any_pool();
rc::Gen<account_row> any_account_row();
rc::Gen<row_change> any_change();

/// Like `any_change`, for the tables that are edited through nodes.
rc::Gen<row_change> any_edited_change();

/// Consecutive snapshots from revision 0 and the deltas between them.
struct revision_chain
{
    std::vector<std::shared_ptr<const config_snapshot>> snapshots_;
    std::vector<config_delta> deltas_;
};

/// Applies the changes one by one, one revision each. Skips changes that would
/// leave a route without its pool.
revision_chain make_chain(const std::vector<row_change>& changes);

/// Returns the delta from `base` to the next revision with `changes`.
config_delta
delta_after(const config_snapshot& base, std::vector<row_change> changes);

} // namespace hemlockshelf

#endif
