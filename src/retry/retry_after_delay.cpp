#include "hemlockshelf/retry/retry_after_delay.hpp"

#include <algorithm>

namespace hemlockshelf {

namespace {

// Without an estimate: long enough for a record of a new upstream to arrive.
constexpr std::chrono::milliseconds unknown_room{150};
constexpr std::chrono::milliseconds shortest{20};
constexpr std::chrono::milliseconds longest{1000};
constexpr double spread = 0.25;

} // namespace

std::chrono::milliseconds retry_after_delay(
    std::optional<std::chrono::milliseconds> room_in, random_source& random)
{
    const auto middle =
        std::clamp(room_in.value_or(unknown_room), shortest, longest);
    const double factor = 1 - spread + 2 * spread * random_fraction(random);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        middle * factor);
}

} // namespace hemlockshelf
