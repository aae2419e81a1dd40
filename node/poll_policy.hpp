#ifndef HEMLOCKSHELF_NODE_POLL_POLICY_HPP
#define HEMLOCKSHELF_NODE_POLL_POLICY_HPP

#include <chrono>
#include <cstddef>
#include <optional>

#include "node/poll_schedule.hpp"

namespace hemlockshelf {

/// Longest wait of a call for a published configuration. A lost call is noticed
/// after this wait and the timeout of the call, and repeated at once; both
/// together must leave time to push what it brings. Each wait costs one call
/// per reader.
inline constexpr std::chrono::milliseconds published_wait{1000};

/// Conditions that determine how a node polls the platform.
struct reader_status
{
    /// Rank among the readers of the failure domain, if the node is one.
    std::optional<std::size_t> rank_;
    /// Whether the node has lost the platform (`platform_contact`).
    bool platform_lost_ = false;
    /// Time since the last contact with another node.
    std::chrono::nanoseconds time_since_contact_{0};
};

/// Returns whether a node counts as isolated after this time without a contact,
/// so that it cannot rely on other nodes for newer revisions.
bool is_isolated(std::chrono::nanoseconds time_since_contact);

/// Returns the poll mode of a node that has joined. Readers and isolated nodes
/// follow the platform. A node that has lost the platform polls its head, so
/// that it can become a reader again. The others receive revisions from peers.
poll_mode choose_poll_mode(const reader_status& status);

/// Returns how long a reader of the given rank, or a node without one, waits
/// for the push of a reader before it in rank, before it pushes a revision that
/// it has read.
std::chrono::milliseconds push_delay(std::optional<std::size_t> rank);

} // namespace hemlockshelf

#endif
