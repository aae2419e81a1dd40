#ifndef HEMLOCKSHELF_MEMBERSHIP_MEMBER_RECORD_HPP
#define HEMLOCKSHELF_MEMBERSHIP_MEMBER_RECORD_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/membership/acknowledged_upstream.hpp"

namespace hemlockshelf {

/// State of the upstream on a node's VM, as reported by that node.
enum class upstream_state
{
    absent,
    warming,
    ready,
    draining,
    left,
    /// The upstream stopped announcing itself without draining first.
    down,
};

/// Reachability of a member, as determined by other nodes.
enum class liveness
{
    alive,
    /// Heartbeats are missing. Only lowers the routing preference.
    suspect,
    /// The member's whole failure domain or region can't be reached.
    unreachable,
    /// Confirmed by other nodes to be down.
    down,
};

/// State of a node and its upstream. Only the node itself writes its record.
/// Copies are merged by the highest (incarnation, sequence).
struct member_record
{
    vm_id vm_;
    failure_domain_id failure_domain_;
    region_id region_;
    /// `address:port` of the node's gate, reachable by peers.
    std::string gate_address_;
    /// `address:port` of the node's control listener, reachable by peers.
    std::string control_address_;
    /// `address:port` of the node's admin listener, reachable by operators.
    std::string admin_address_;
    incarnation incarnation_;
    sequence sequence_;
    upstream_state state_ = upstream_state::absent;
    client_account_id account_;
    service_name service_;
    slot_count slots_;
    connection_count connections_;
    /// Capacity of the VM's link.
    bit_rate link_{};
    /// Whether the platform does not answer the node's requests, or did not
    /// until a few seconds ago.
    bool platform_lost_ = false;
    /// Shortest time in which the platform has answered the node, if it has.
    std::optional<std::chrono::microseconds> platform_round_trip_;
    /// What the node has acknowledged to its upstream, if the upstream names
    /// its starts or does not get work. The sequence number is that of the last
    /// change of `state_`.
    std::optional<acknowledged_upstream> acknowledged_;

    friend bool
    operator==(const member_record&, const member_record&) = default;
};

/// A record as disseminated between nodes. Updates are merged by the highest
/// (incarnation, sequence, down), so that only a newer record from the member
/// itself can refute that it is down.
struct member_update
{
    member_record record_;
    /// Other nodes confirmed that the member is down.
    bool down_ = false;

    friend bool
    operator==(const member_update&, const member_update&) = default;
};

/// Returns whether `left` supersedes `right`. Both must be updates of the same
/// member.
bool supersedes(const member_update& left, const member_update& right);

/// Returns whether calls may be sent to an upstream in this state.
bool can_serve(upstream_state state);

std::string_view to_string(upstream_state state);
std::string_view to_string(liveness value);

} // namespace hemlockshelf

#endif
