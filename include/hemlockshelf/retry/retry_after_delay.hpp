#ifndef HEMLOCKSHELF_RETRY_RETRY_AFTER_DELAY_HPP
#define HEMLOCKSHELF_RETRY_RETRY_AFTER_DELAY_HPP

#include <chrono>
#include <optional>

#include "hemlockshelf/core/random_source.hpp"

namespace hemlockshelf {

/// Returns when a caller whose request was refused should come back: when the
/// gate that is soonest to have room expects it. The delay is spread by a
/// quarter either way, so that callers refused together return apart.
std::chrono::milliseconds retry_after_delay(
    std::optional<std::chrono::milliseconds> room_in, random_source& random);

} // namespace hemlockshelf

#endif
