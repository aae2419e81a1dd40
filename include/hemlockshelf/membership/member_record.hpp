#ifndef HEMLOCKSHELF_MEMBERSHIP_MEMBER_RECORD_HPP
#define HEMLOCKSHELF_MEMBERSHIP_MEMBER_RECORD_HPP

#include <string>
#include <string_view>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// State of the upstream beside a node, as that node reports it.
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

/// What other nodes hold about a member's reachability.
enum class liveness
{
    alive,
    /// Heartbeats are missing; only lowers the preference for the member.
    suspect,
    /// The member's whole failure domain or region can't be reached.
    unreachable,
    /// Confirmed through other nodes to be down.
    down,
};

/// A node and its upstream. Only the node itself writes its record; copies
/// merge by the highest (incarnation, sequence).
struct member_record
{
    vm_id vm_;
    failure_domain_id failure_domain_;
    region_id region_;
    /// `address:port` of the node's gate, as peers reach it.
    std::string gate_address_;
    /// `address:port` of the node's control listener, as peers reach it.
    std::string control_address_;
    /// `address:port` of the node's admin listener, as operators reach it.
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
    /// Whether the node gets no answers from the platform, or got none a few
    /// seconds ago.
    bool platform_lost_ = false;

    friend bool
    operator==(const member_record&, const member_record&) = default;
};

/// A record as nodes pass it on. Updates merge by the highest (incarnation,
/// sequence, down), so that only a newer record of the member itself refutes
/// the finding that it is down.
struct member_update
{
    member_record record_;
    /// Other nodes confirmed that the member is down.
    bool down_ = false;

    friend bool
    operator==(const member_update&, const member_update&) = default;
};

/// Tells whether `left` supersedes `right`, both of the same member.
bool supersedes(const member_update& left, const member_update& right);

/// Tells whether calls may be sent to an upstream in this state.
bool can_serve(upstream_state state);

std::string_view to_string(upstream_state state);
std::string_view to_string(liveness value);

} // namespace hemlockshelf

#endif
