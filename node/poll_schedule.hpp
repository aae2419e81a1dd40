#ifndef HEMLOCKSHELF_NODE_POLL_SCHEDULE_HPP
#define HEMLOCKSHELF_NODE_POLL_SCHEDULE_HPP

#include <chrono>
#include <cstdint>

#include "hemlockshelf/core/random_source.hpp"

namespace hemlockshelf {

/// How a node polls the platform.
enum class poll_mode
{
    off,
    /// Read the head only; missing revisions come from peers.
    head_only,
    /// Read the head and the change rows up to it.
    follow,
};

/// Returns the delay until the next poll after `polls` polls in the same mode
/// (1 or more). A reader of the platform polls at `interval`. A joining node
/// doubles its delay after each poll, with random jitter, because a whole
/// failure domain may join at once and the platform serves a limited number of
/// reads per second. Meanwhile its peers report newer revisions to it.
std::chrono::milliseconds next_poll_delay(
    poll_mode mode,
    std::chrono::milliseconds interval,
    std::uint32_t polls,
    random_source& random);

} // namespace hemlockshelf

#endif
