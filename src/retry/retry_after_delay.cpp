#include "hemlockshelf/retry/retry_after_delay.hpp"

#include <algorithm>

namespace hemlockshelf {

namespace {

// Used without an estimate; long enough for the record of a new upstream to
// arrive.
constexpr std::chrono::milliseconds default_delay{150};
constexpr std::chrono::milliseconds min_delay{20};
constexpr std::chrono::milliseconds max_delay{1000};
constexpr double jitter = 0.25;

} // namespace

std::chrono::milliseconds retry_after_delay(
    std::optional<std::chrono::milliseconds> expected_wait,
    random_source& random)
{
    const auto base_delay =
        std::clamp(expected_wait.value_or(default_delay), min_delay, max_delay);
    const double factor = 1 - jitter + 2 * jitter * random_fraction(random);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        base_delay * factor);
}

std::chrono::milliseconds
spread_delay(std::chrono::milliseconds shortest, random_source& random)
{
    const double factor = 1 + jitter * random_fraction(random);
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::chrono::duration<double, std::milli>(shortest) * factor);
}

} // namespace hemlockshelf
