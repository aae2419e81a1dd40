#ifndef HEMLOCKSHELF_GATE_CONNECTION_COUNTS_HPP
#define HEMLOCKSHELF_GATE_CONNECTION_COUNTS_HPP

#include <cstdint>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/core/token_bucket.hpp"

namespace hemlockshelf {

/// Counts the connections to the upstream; the adapter owns the sockets. The
/// sum of `in_use_` and `idle_` never exceeds the limit, except after the limit
/// has been lowered below the number of open connections.
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
    /// Open a new connection.
    open,
    /// Ask again at `retry_at_`: the rate of new connections is limited.
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

/// Decides how an admitted call obtains its connection. After `reuse` and
/// `open` the connection counts as in use until `release_connection`.
connection_decision
acquire_connection(connection_counts& counts, token_rate pace, steady_time now);

/// Returns a connection to the pool, or counts one that failed to open. Returns
/// whether to keep it open, which requires that it is `reusable` (in a known
/// good state) and that the limit is not exceeded.
bool release_connection(connection_counts& counts, bool reusable);

/// Counts an idle connection that was closed. Returns false if none was idle.
bool drop_idle_connection(connection_counts& counts);

/// Returns how many idle connections to close because the limit was lowered.
std::uint32_t surplus_connections(const connection_counts& counts);

} // namespace hemlockshelf

#endif
