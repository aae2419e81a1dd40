#ifndef HEMLOCKSHELF_GATE_CONNECTION_COUNTS_HPP
#define HEMLOCKSHELF_GATE_CONNECTION_COUNTS_HPP

#include <cstdint>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/core/token_bucket.hpp"

namespace hemlockshelf {

/// Counts the connections to the upstream; the adapter owns the sockets. The
/// sum of `in_use_` and `idle_` never exceeds the limit, but for a limit that
/// has been lowered below what was open.
struct connection_counts
{
    connection_count limit_{};
    std::uint32_t in_use_ = 0;
    std::uint32_t idle_ = 0;
    token_bucket pace_{};
};

enum class connection_action
{
    /// Take an idle connection out of the pool.
    reuse,
    /// Open a new one.
    open,
    /// Ask again at `retry_at_`: new connections are paced.
    wait,
    /// Every connection is in use.
    exhausted,
};

struct connection_decision
{
    connection_action grant_ = connection_action::exhausted;
    /// Only with `connection_action::wait`.
    steady_time retry_at_{};
};

/// Decides how an admitted call gets its connection. After `reuse` and `open`
/// the connection counts as in use until `release_connection`.
connection_decision
acquire_connection(connection_counts& ledger, token_rate pace, steady_time now);

/// Gives a connection back, or one that failed to open. Returns whether to
/// keep it open: only if it is `reusable` (no doubt about its state) and the
/// limit has room.
bool release_connection(connection_counts& ledger, bool reusable);

/// Counts an idle connection that was closed. Returns false if none was idle.
bool drop_idle_connection(connection_counts& ledger);

/// Returns how many idle connections to close because the limit was lowered.
std::uint32_t surplus_connections(const connection_counts& ledger);

} // namespace hemlockshelf

#endif
