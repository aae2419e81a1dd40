#ifndef HEMLOCKSHELF_TEST_CONFIG_ROW_GENERATORS_HPP
#define HEMLOCKSHELF_TEST_CONFIG_ROW_GENERATORS_HPP

#include <vector>

#include <rapidcheck.h>

#include "hemlockshelf/config/config_delta.hpp"
#include "hemlockshelf/config/config_snapshot.hpp"

namespace hemlockshelf {

/// Generates valid rows over few names, so that rows meet.
rc::Gen<route_row> any_route();
rc::Gen<pool_row> any_pool();
rc::Gen<row_change> any_change();

/// Snapshots from revision 0 on, and the delta to each but the first.
struct revision_chain
{
    std::vector<std::shared_ptr<const config_snapshot>> snapshots_;
    std::vector<config_delta> deltas_;
};

/// Applies the changes one by one; those that would leave a dangling reference
/// are skipped.
revision_chain make_chain(const std::vector<row_change>& changes);

/// Returns the delta that applies `changes` to `base`.
config_delta
delta_after(const config_snapshot& base, std::vector<row_change> changes);

} // namespace hemlockshelf

#endif
