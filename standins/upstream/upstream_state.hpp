#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_STATE_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_STATE_HPP

#include <chrono>
#include <cstdint>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/random_source.hpp"
#include "standins/upstream/upstream_settings.hpp"

namespace hemlockshelf {

/// Counters of the stand-in. Not thread-safe.
struct upstream_counters
{
    std::uint64_t completed_ = 0;
    std::uint64_t cancelled_ = 0;
    std::uint64_t shed_ = 0;
    std::uint64_t connections_refused_ = 0;
    /// Highest numbers of concurrent requests and connections so far.
    std::uint32_t most_running_ = 0;
    std::uint32_t most_connections_ = 0;
};

/// State of the stand-in. Not thread-safe.
struct upstream_state
{
    upstream_settings settings_;
    steady_time started_at_{};
    bool draining_ = false;
    std::uint32_t running_ = 0;
    std::uint32_t connections_ = 0;
    upstream_counters counters_{};
    random_source random_{};
};

/// Acquires a slot. Returns false and counts the request as shed if all slots
/// are in use.
bool try_acquire_slot(upstream_state& state);

/// Releases a slot.
void release_slot(upstream_state& state);

/// Acquires a connection slot. Returns false and counts the connection as
/// refused if all are in use.
bool try_acquire_connection_slot(upstream_state& state);

/// Returns a random service time for a request that starts at `now`.
std::chrono::nanoseconds
draw_service_time(upstream_state& state, steady_time now);

} // namespace hemlockshelf

#endif
