#ifndef HEMLOCKSHELF_NODE_PLATFORM_CONTACT_HPP
#define HEMLOCKSHELF_NODE_PLATFORM_CONTACT_HPP

#include <chrono>
#include <optional>

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// Time for which the platform has to answer every poll before a node that had
/// lost it says that it reaches it again. Each change of the node's record is
/// pushed to every node. A node that has lost the platform polls about every
/// 2 s, so that at least two answers fall into this time.
constexpr std::chrono::seconds platform_recovery_time{5};

/// What a node's polls say about its contact with the platform.
struct platform_contact
{
    /// Whether the node is to be passed over as a reader.
    bool lost_ = false;
    /// First answer since the last failure; only kept while `lost_`.
    std::optional<steady_time> answers_since_;
};

/// Takes the outcome of a poll. A failure counts at once, because a reader
/// without the platform costs its failure domain configurations; answers count
/// after `platform_recovery_time` without a failure.
void note_poll(platform_contact& contact, bool answered, steady_time now);

} // namespace hemlockshelf

#endif
