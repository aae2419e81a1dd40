#ifndef HEMLOCKSHELF_DISSEMINATION_READERS_HPP
#define HEMLOCKSHELF_DISSEMINATION_READERS_HPP

#include <chrono>
#include <cstddef>
#include <optional>
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

/// A node that may read published configurations for the whole deployment.
struct publication_candidate
{
    vm_id vm_;
    bit_rate link_{};
    bool platform_lost_ = false;
    /// Shortest time in which the platform has answered the node, if it has.
    std::optional<std::chrono::microseconds> platform_round_trip_;
};

/// What the choice of readers needs to know of a failure domain.
struct domain_candidates
{
    region_id region_;
    /// Shortest round trip of a member to the platform, if one is known.
    std::optional<std::chrono::microseconds> platform_round_trip_;
    /// The best candidates, in order of preference: nodes that reach the
    /// platform, then those with larger links, then by hashing.
    std::vector<publication_candidate> best_;
};

/// Summarizes the members of a failure domain. Keeps up to `count` candidates.
domain_candidates summarize_domain(
    const region_id& region,
    std::vector<publication_candidate> members,
    std::size_t count);

/// Selects up to `count` readers of published configurations, in order of
/// preference: nodes that reach the platform, then those of the regions closest
/// to it, spread over the failure domains. A published document is large, and
/// the link between regions is shared by all traffic: in another region than
/// the platform's, readers that all fetched it delayed everything else by
/// seconds. The other nodes receive revisions as deltas.
std::vector<vm_id> choose_publication_readers(
    const std::vector<domain_candidates>& domains, std::size_t count);

} // namespace hemlockshelf

#endif
