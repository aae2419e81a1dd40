#ifndef HEMLOCKSHELF_ROUTING_EJECTION_HPP
#define HEMLOCKSHELF_ROUTING_EJECTION_HPP

#include <cstddef>
#include <span>

#include "hemlockshelf/routing/upstream_load.hpp"

namespace hemlockshelf {

/// Returns how many upstreams of a pool may be out of use at a time.
std::size_t
ejection_limit(std::size_t pool_size, const routing_settings& settings);

/// Returns how many upstreams are ejected or probing.
std::size_t count_ejected(std::span<const upstream_load> pool);

/// Ejections whose time is over become probes.
void end_ejections(std::span<upstream_load> pool, steady_time now);

/// Takes ejections back until the pool is within its limit, which falls when
/// members leave. Those that end first go first.
void enforce_ejection_limit(
    std::span<upstream_load> pool, const routing_settings& settings);

/// Judges the outcome of a call to `pool[index]`: ejects the upstream if it
/// fails too often and the pool's limit has room, and brings it back after its
/// probes.
void record_outcome(
    std::span<upstream_load> pool,
    std::size_t index,
    call_outcome outcome,
    const routing_settings& settings,
    steady_time now);

} // namespace hemlockshelf

#endif
