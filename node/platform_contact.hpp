#ifndef HEMLOCKSHELF_NODE_PLATFORM_CONTACT_HPP
#define HEMLOCKSHELF_NODE_PLATFORM_CONTACT_HPP

#include <chrono>
#include <optional>

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// Time for which the platform must answer every poll before a node that had
/// lost it reports it as reachable again. This limits how often the record of a
/// node changes, because each change is pushed to every node. A node that has
/// lost the platform polls about every 2 s, so that at least two answers fall
/// within this time.
constexpr std::chrono::seconds platform_recovery_time{5};

/// Reachability of the platform, derived from a node's polls.
struct platform_contact
{
    /// Whether the node is excluded from the readers.
    bool lost_ = false;
    /// Time of the first answer since the last failure; set only while `lost_`
    /// is true.
    std::optional<steady_time> answers_since_;
};

/// Records the outcome of a poll. A failure takes effect at once, because a
/// reader without the platform leaves its failure domain without new
/// configurations. Answers take effect after `platform_recovery_time` without a
/// failure.
void record_poll(platform_contact& contact, bool answered, steady_time now);

} // namespace hemlockshelf

#endif
