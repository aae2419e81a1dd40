#ifndef HEMLOCKSHELF_DISSEMINATION_READERS_HPP
#define HEMLOCKSHELF_DISSEMINATION_READERS_HPP

#include <cstddef>
#include <vector>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Selects up to `count` nodes of a failure domain by rendezvous hashing, so
/// that at most one of them changes when a member joins or leaves.
std::vector<vm_id> choose_by_rendezvous_hash(
    const failure_domain_id& domain,
    std::vector<vm_id> live_members,
    std::size_t count);

/// A node that may poll the platform for its failure domain.
struct reader_candidate
{
    vm_id vm_;
    /// Capacity of the VM's link.
    bit_rate link_{};
    /// Whether its record reports that the platform does not answer.
    bool platform_lost_ = false;
};

/// Selects the nodes of a failure domain that poll the platform, in order of
/// preference: nodes that can reach it, then nodes with larger links, because
/// operators may publish complete configurations, then by rendezvous hashing.
std::vector<vm_id> choose_platform_readers(
    const failure_domain_id& domain,
    std::vector<reader_candidate> candidates,
    std::size_t count);

} // namespace hemlockshelf

#endif
