#ifndef HEMLOCKSHELF_DISSEMINATION_DISSEMINATION_SETTINGS_HPP
#define HEMLOCKSHELF_DISSEMINATION_DISSEMINATION_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace hemlockshelf {

/// Optimization goal of a set of defaults.
enum class dissemination_profile
{
    /// Short convergence time.
    convergence,
    /// Low control traffic.
    bytes,
};

/// Fan-out, intervals and limits of dissemination.
struct dissemination_settings
{
    /// Number of children of a node in the tree within a failure domain.
    std::size_t domain_fanout_ = 4;
    /// Number of nodes of a failure domain that poll the platform.
    std::size_t readers_per_domain_ = 2;
    /// Number of nodes of the whole deployment that wait for published
    /// configurations.
    std::size_t publication_readers_ = 4;
    std::chrono::milliseconds poll_interval_{500};
    /// Whether a revision is offered before it is sent to another failure
    /// domain or region. Costs a round trip and saves sending a delta that the
    /// receiver already has.
    bool offer_first_ = false;
    /// Intervals of the digest exchange with a random peer of the local failure
    /// domain and of another one. Neighbours already compare digests with each
    /// heartbeat, so these exchanges only find what the neighbours also miss.
    std::chrono::milliseconds repair_interval_{10'000};
    std::chrono::milliseconds cross_domain_interval_{5'000};
    /// A difference that lasts this long is repaired; a shorter one may be
    /// resolved by a push in progress.
    std::chrono::milliseconds repair_grace_{250};
    /// How long member records are delayed to be batched into one message.
    std::chrono::milliseconds record_batch_delay_{5};
    /// Time after which a push that is not answered is sent to the next
    /// candidate.
    std::chrono::milliseconds domain_push_deadline_{250};
    std::chrono::milliseconds cross_domain_push_deadline_{800};
    /// Time after which a push of deltas to another failure domain or region is
    /// offered to the next candidate as well. A node of another region that is
    /// not overloaded answers within 50 ms.
    std::chrono::milliseconds push_hedge_delay_{150};
    /// Time after which a node that compares its revision with a silent reader
    /// asks the next reader as well. Longer than the delay of a push, because
    /// such a comparison is made every heartbeat interval.
    std::chrono::milliseconds reader_hedge_delay_{250};
    /// Maximum number of candidates tried for another failure domain or
    /// region. If half of the members are silent, so are all of eight in one of
    /// 256 pushes.
    std::size_t bridge_attempts_ = 8;
    /// Maximum number of members of the local failure domain tried for one
    /// subtree.
    std::size_t takeover_attempts_ = 32;
    std::chrono::milliseconds fetch_deadline_{3000};
    /// Number of recent deltas kept to serve fetches by peers.
    std::size_t kept_deltas_ = 256;
    /// Maximum number of full snapshots served per `snapshot_period_`.
    std::size_t snapshots_at_once_ = 2;
    std::chrono::milliseconds snapshot_period_{250};
    /// Step of the retry delay that a busy peer returns, before jitter.
    std::chrono::milliseconds busy_retry_after_{300};
};

/// Returns the defaults of a profile.
dissemination_settings default_settings(dissemination_profile profile);

} // namespace hemlockshelf

#endif
