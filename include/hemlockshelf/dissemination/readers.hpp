#ifndef HEMLOCKSHELF_DISSEMINATION_READERS_HPP
#define HEMLOCKSHELF_DISSEMINATION_READERS_HPP

#include <cstddef>
#include <vector>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Chooses nodes of a failure domain for a duty, by rendezvous hashing: when a
/// member joins or leaves, the choice changes by at most one.
std::vector<vm_id> choose_by_rendezvous_hash(
    const failure_domain_id& domain,
    std::vector<vm_id> live_members,
    std::size_t count);

/// A node that could read the platform for its failure domain.
struct reader_candidate
{
    vm_id vm_;
    /// Capacity of the VM's link.
    bit_rate link_{};
    /// Whether it has lost the platform, as its record says.
    bool platform_lost_ = false;
};

/// Chooses the nodes of a failure domain that read the platform, the first one
/// first: those that reach it, then those with the larger link, because
/// operators may publish whole configurations, then by rendezvous hashing.
std::vector<vm_id> choose_platform_readers(
    const failure_domain_id& domain,
    std::vector<reader_candidate> candidates,
    std::size_t count);

} // namespace hemlockshelf

#endif
