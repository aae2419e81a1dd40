#ifndef HEMLOCKSHELF_MEMBERSHIP_FAILURE_DETECTOR_HPP
#define HEMLOCKSHELF_MEMBERSHIP_FAILURE_DETECTOR_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Chooses the members to which `self` sends heartbeats: the next `count`
/// after it on a ring ordered by the hash of the vm. Every node computes the
/// same ring, so that each member has as many watchers as it watches.
std::vector<vm_id> choose_neighbours(
    const vm_id& self, std::vector<vm_id> members, std::size_t count);

/// Chooses the member that sends its heartbeats to `self` first of all, that
/// is the one before it on the ring; nothing if there is no other.
std::optional<vm_id>
choose_predecessor(const vm_id& self, const std::vector<vm_id>& members);

/// What is known about one neighbour.
struct neighbour_health
{
    std::uint32_t missed_ = 0;
    /// Rounds of confirmation that came to no conclusion.
    std::uint32_t rounds_ = 0;
    bool confirming_ = false;
};

/// What to do after a heartbeat.
enum class detector_action
{
    none,
    /// Ask other nodes about the neighbour; until they answer it is suspect.
    confirm,
};

/// Notes a heartbeat that was not answered.
detector_action
record_missed_heartbeat(neighbour_health& watch, std::uint32_t limit);

/// Answers of the nodes that were asked about a suspect.
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

/// Decides on a suspicion. One node that reaches the suspect refutes it. If no
/// one answers, this node may itself be cut off, and nothing follows. If only
/// a minority answers, several rounds must agree.
suspicion_verdict evaluate_confirmation(
    neighbour_health& watch, const confirmation_counts& answers);

} // namespace hemlockshelf

#endif
