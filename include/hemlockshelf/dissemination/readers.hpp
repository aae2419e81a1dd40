#ifndef HEMLOCKSHELF_DISSEMINATION_READERS_HPP
#define HEMLOCKSHELF_DISSEMINATION_READERS_HPP

#include <cstddef>
#include <vector>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Chooses the nodes of a failure domain that poll the platform, by rendezvous
/// hashing: when a member joins or leaves, the choice changes by at most one.
std::vector<vm_id> choose_readers(
    const failure_domain_id& domain,
    std::vector<vm_id> live_members,
    std::size_t count);

} // namespace hemlockshelf

#endif
