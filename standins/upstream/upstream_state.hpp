#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_STATE_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_STATE_HPP

#include <chrono>
#include <cstdint>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/random_source.hpp"
#include "standins/upstream/upstream_settings.hpp"

namespace hemlockshelf {

/// What the stand-in counts. Used by one thread only.
struct upstream_counters
{
    std::uint64_t completed_ = 0;
    std::uint64_t cancelled_ = 0;
    std::uint64_t shed_ = 0;
    std::uint64_t connections_refused_ = 0;
    /// Highest numbers at any time.
    std::uint32_t most_running_ = 0;
    std::uint32_t most_connections_ = 0;
};

/// State of the stand-in. Used by one thread only.
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

/// Takes a slot; false if all are in use, which counts as shed.
bool take_slot(upstream_state& state);

/// Gives a slot back.
void release_slot(upstream_state& state);

/// Takes a connection; false if there are too many.
bool take_connection_slot(upstream_state& state);

/// Returns how long a request that starts now takes.
std::chrono::nanoseconds
draw_service_time(upstream_state& state, steady_time now);

} // namespace hemlockshelf

#endif
