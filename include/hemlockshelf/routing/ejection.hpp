#ifndef HEMLOCKSHELF_ROUTING_EJECTION_HPP
#define HEMLOCKSHELF_ROUTING_EJECTION_HPP

#include <cstddef>
#include <span>

#include "hemlockshelf/routing/upstream_load.hpp"

namespace hemlockshelf {

/// Returns how many upstreams of a pool may be ejected or probing at a time.
std::size_t
ejection_limit(std::size_t pool_size, const routing_settings& settings);

/// Returns how many upstreams are ejected or probing.
std::size_t count_ejected(std::span<const upstream_load> pool);

/// Moves upstreams whose ejection time is over to the probing state.
void end_ejections(std::span<upstream_load> pool, steady_time now);

/// Revokes ejections until the pool is within its limit, which falls when
/// members leave. Those that would end first are revoked first.
void enforce_ejection_limit(
    std::span<upstream_load> pool, const routing_settings& settings);

/// Records the outcome of a call to `pool[index]`. Ejects the upstream if it
/// fails too often and the pool is below its limit, and restores it after
/// successful probes.
void record_outcome(
    std::span<upstream_load> pool,
    std::size_t index,
    call_outcome outcome,
    const routing_settings& settings,
    steady_time now);

} // namespace hemlockshelf

#endif
