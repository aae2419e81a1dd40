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

/// What an entry knows about the upstreams of one service. Not thread-safe:
/// `upstream_load_table` holds each under a lock.
struct pool_state
{
    /// The list to which `loads_` and `tiers_` belong, index by index.
    member_list members_;
    std::vector<upstream_load> loads_;
    std::vector<locality_tier> tiers_;
    spill_state spill_;
    /// Calls in progress from this entry to all upstreams, also to those that
    /// have left the list.
    std::uint32_t in_progress_ = 0;
};

/// Takes over a new list of members. What is known about a member is kept as
/// long as its incarnation stays; members that appear later than the first
/// list start cold.
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

/// Counts a call as ended and judges its outcome.
void end_call(
    pool_state& state,
    const vm_id& vm,
    const call_report& report,
    const routing_settings& settings,
    steady_time now);

} // namespace hemlockshelf

#endif
