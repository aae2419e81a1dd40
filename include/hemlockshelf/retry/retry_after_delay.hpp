#ifndef HEMLOCKSHELF_RETRY_RETRY_AFTER_DELAY_HPP
#define HEMLOCKSHELF_RETRY_RETRY_AFTER_DELAY_HPP

#include <chrono>
#include <optional>

#include "hemlockshelf/core/random_source.hpp"

namespace hemlockshelf {

/// Returns the delay after which a caller whose request was refused should try
/// again, based on the shortest wait that a gate expects. A jitter of up to a
/// quarter either way keeps callers that were refused together from returning
/// together.
std::chrono::milliseconds retry_after_delay(
    std::optional<std::chrono::milliseconds> expected_wait,
    random_source& random);

/// Returns a delay of at least `shortest`, with a jitter of up to a quarter.
std::chrono::milliseconds
spread_delay(std::chrono::milliseconds shortest, random_source& random);

} // namespace hemlockshelf

#endif
