#ifndef HEMLOCKSHELF_MEMBERSHIP_FAILURE_DETECTOR_HPP
#define HEMLOCKSHELF_MEMBERSHIP_FAILURE_DETECTOR_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Selects the members to which `self` sends heartbeats: its next `count`
/// successors on a ring ordered by the hash of the vm. Every node computes the
/// same ring, so each member is monitored by as many nodes as it monitors.
std::vector<vm_id> choose_neighbours(
    const vm_id& self, std::vector<vm_id> members, std::size_t count);

/// Selects the predecessor of `self` on the ring, which is the member that has
/// `self` as its first heartbeat target. Returns nullopt if there is no other
/// member.
std::optional<vm_id>
choose_predecessor(const vm_id& self, const std::vector<vm_id>& members);

/// Failure detection state of one neighbour.
struct neighbour_health
{
    std::uint32_t missed_ = 0;
    /// Consecutive confirmation rounds in which the suspect was reported
    /// unreachable.
    std::uint32_t rounds_ = 0;
    bool confirming_ = false;
};

/// Action to take after a missed heartbeat.
enum class detector_action
{
    none,
    /// Ask other nodes to probe the neighbour, which is suspect until they
    /// answer.
    confirm,
};

/// Records a heartbeat without an answer. Returns `confirm` once `limit`
/// heartbeats in a row are missed and no confirmation is in progress.
detector_action
record_missed_heartbeat(neighbour_health& watch, std::uint32_t limit);

/// Counts of the nodes asked to probe a suspect and of their answers.
struct confirmation_counts
{
    std::size_t asked_ = 0;
    std::size_t reachable_ = 0;
    std::size_t unreachable_ = 0;
};

enum class suspicion_verdict
{
    inconclusive,
    alive,
    down,
};

/// Decides whether a suspect is alive or down. A single node that reaches the
/// suspect refutes the suspicion. If no node answers, the local node may be
/// partitioned and the result is inconclusive. If only a minority reports the
/// suspect unreachable, several consecutive rounds must agree.
suspicion_verdict evaluate_confirmation(
    neighbour_health& watch, const confirmation_counts& answers);

} // namespace hemlockshelf

#endif
