#ifndef HEMLOCKSHELF_NODE_POLL_POLICY_HPP
#define HEMLOCKSHELF_NODE_POLL_POLICY_HPP

#include <chrono>
#include <cstddef>
#include <optional>

#include "node/poll_schedule.hpp"

namespace hemlockshelf {

/// What decides whether a node reads the platform.
struct reader_status
{
    /// Place among the readers of the failure domain, if the node is one.
    std::optional<std::size_t> rank_;
    /// Whether the node has lost the platform (`platform_contact`).
    bool platform_lost_ = false;
    /// Time since the last contact with another node.
    std::chrono::nanoseconds time_since_contact_{0};
};

/// Returns whether no other node can tell this one of newer revisions, after so
/// long without a contact.
bool is_isolated(std::chrono::nanoseconds time_since_contact);

/// Returns how a node that has joined reads the platform. A reader and an
/// isolated node follow it; a node that has lost it looks for its return, so
/// that it can become a reader again; the others learn from peers.
poll_mode choose_poll_mode(const reader_status& status);

/// Returns how long the reader in the given place, or one in none, waits for
/// the push of an earlier one before it pushes a revision that it has read.
std::chrono::milliseconds push_delay(std::optional<std::size_t> rank);

} // namespace hemlockshelf

#endif
