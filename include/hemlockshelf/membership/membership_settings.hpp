#ifndef HEMLOCKSHELF_MEMBERSHIP_MEMBERSHIP_SETTINGS_HPP
#define HEMLOCKSHELF_MEMBERSHIP_MEMBERSHIP_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace hemlockshelf {

/// Intervals and limits of membership.
struct membership_settings
{
    std::chrono::milliseconds heartbeat_interval_{500};
    /// A heartbeat that is not answered within this time counts as missed.
    std::chrono::milliseconds heartbeat_deadline_{400};
    /// Consecutive missed heartbeats after which a neighbour is suspect.
    std::uint32_t missed_limit_ = 3;
    /// Number of neighbours to which this node sends heartbeats. The
    /// predecessor on the ring is also monitored, by the heartbeats that it
    /// sends, at no extra traffic. Each node is thus monitored by one node
    /// more than this.
    std::size_t neighbours_ = 1;
    /// Number of nodes asked to confirm a suspicion.
    std::size_t confirming_nodes_ = 3;
    /// Deadline of a confirmation request, which includes a heartbeat from the
    /// asked node to the suspect.
    std::chrono::milliseconds probe_deadline_{900};
    /// Minimum time for which a new upstream is reported as warming. Each node
    /// adds up to half of it.
    std::chrono::milliseconds warm_up_time_{10'000};
    /// An upstream that has not sent an announcement for this long is down.
    std::chrono::milliseconds announcement_lifetime_{3000};
    /// Time after which members that left or are down are removed from lists.
    std::chrono::seconds removal_delay_{600};
    /// How long the record of a removed member is kept, so that an old record
    /// from a partitioned peer does not add the member again.
    std::chrono::hours removed_record_lifetime_{24};
    /// Time between two ticks from which the process counts as paused.
    std::chrono::milliseconds pause_threshold_{2000};
    /// Consecutive failed contacts after which a failure domain is marked
    /// unreachable.
    std::uint32_t unreachable_after_ = 3;
    /// Number of nodes of a failure domain that keep a row in the platform's
    /// directory.
    std::size_t directory_rows_ = 8;
    /// Interval at which this node maintains its row in the directory.
    std::chrono::seconds directory_interval_{30};
    /// Number of peers that a joining node asks for their revision.
    std::size_t join_peers_ = 3;
    /// Maximum time that a joining node waits for peers if only the platform
    /// has answered, or for the platform if only peers have. After a pause,
    /// also the time after which a node continues if neither has answered.
    std::chrono::milliseconds join_timeout_{2000};
};

} // namespace hemlockshelf

#endif
