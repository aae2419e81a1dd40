#ifndef HEMLOCKSHELF_ROUTING_POOL_STATE_HPP
#define HEMLOCKSHELF_ROUTING_POOL_STATE_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/membership/member_table.hpp"
#include "hemlockshelf/routing/locality.hpp"
#include "hemlockshelf/routing/spill.hpp"
#include "hemlockshelf/routing/upstream_load.hpp"

namespace hemlockshelf {

using member_list = std::shared_ptr<const member_table::entry_list>;

/// State that an entry keeps about the upstreams of one service. Not
/// thread-safe: `upstream_load_table` guards each with a lock.
struct pool_state
{
    /// Current members; `loads_` and `tiers_` have the same indices.
    member_list members_;
    std::vector<upstream_load> loads_;
    std::vector<locality_tier> tiers_;
    spill_state spill_;
    /// Calls in progress from this entry to all upstreams, including those that
    /// are no longer members.
    std::uint32_t in_progress_ = 0;
};

/// Replaces the list of members. The load of a member is kept as long as its
/// incarnation does not change. Members that are not in the first list start
/// with a warm-up.
void sync_members(
    pool_state& state,
    const member_list& members,
    const entry_location& location,
    const routing_settings& settings,
    steady_time now);

/// Returns the index of a member, or nothing if the list does not have it.
std::optional<std::size_t>
find_member(const pool_state& state, const vm_id& vm);

/// Counts a call as started.
void start_call(pool_state& state, const vm_id& vm);

/// Counts a call as ended and records its outcome for the failure detection.
void end_call(
    pool_state& state,
    const vm_id& vm,
    const call_report& report,
    const routing_settings& settings,
    steady_time now);

} // namespace hemlockshelf

#endif
