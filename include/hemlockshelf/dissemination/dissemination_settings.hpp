#ifndef HEMLOCKSHELF_DISSEMINATION_DISSEMINATION_SETTINGS_HPP
#define HEMLOCKSHELF_DISSEMINATION_DISSEMINATION_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace hemlockshelf {

/// What the defaults favour.
enum class dissemination_profile
{
    /// Short convergence time.
    convergence,
    /// Few control bytes.
    bytes,
};

/// Fan-out, intervals and limits of dissemination.
struct dissemination_settings
{
    /// Children of a node in the tree within a failure domain.
    std::size_t domain_fanout_ = 4;
    /// Nodes of a failure domain that poll the platform.
    std::size_t readers_per_domain_ = 2;
    std::chrono::milliseconds poll_interval_{500};
    /// Whether a revision is announced before it is sent to another failure
    /// domain or region. Costs a round trip; saves a delta that the other side
    /// already holds.
    bool offer_first_ = false;
    /// Contact with a random peer of the own failure domain, and of another
    /// one. Neighbours compare what they hold with each heartbeat, so that
    /// these only have to find what the neighbours miss as well.
    std::chrono::milliseconds repair_interval_{10'000};
    std::chrono::milliseconds cross_domain_interval_{5'000};
    /// A difference that lasts this long is not a push on its way.
    std::chrono::milliseconds repair_grace_{250};
    /// Member records wait this long for others, to be sent in one message.
    std::chrono::milliseconds record_batch_delay_{5};
    /// Time after which the next candidate takes over from a peer that does
    /// not answer a push.
    std::chrono::milliseconds domain_push_deadline_{250};
    std::chrono::milliseconds cross_domain_push_deadline_{800};
    /// Candidates tried for another failure domain or region.
    std::size_t bridge_attempts_ = 4;
    /// Members of the own failure domain tried in a row for one subtree.
    std::size_t takeover_attempts_ = 32;
    std::chrono::milliseconds fetch_deadline_{3000};
    /// Deltas kept for peers that fetch.
    std::size_t kept_deltas_ = 256;
    /// Whole snapshots served in one `snapshot_period_`.
    std::size_t snapshots_at_once_ = 2;
    std::chrono::milliseconds snapshot_period_{250};
    /// Rounds at which a busy peer asks to be asked again, before jitter.
    std::chrono::milliseconds busy_retry_after_{300};
};

/// Returns the defaults of a profile.
dissemination_settings default_settings(dissemination_profile profile);

} // namespace hemlockshelf

#endif
