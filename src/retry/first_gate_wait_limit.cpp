#include "hemlockshelf/retry/first_gate_wait_limit.hpp"

#include <algorithm>

namespace hemlockshelf {

namespace {

// A gate in another region answers after about 40 ms; to ask it for a shorter
// wait than that is slower and costs bytes between the regions.
constexpr std::chrono::milliseconds longest_first_wait{50};
// The other half of the target is left for another gate.
constexpr int target_divisor = 2;

} // namespace

std::chrono::milliseconds
first_gate_wait_limit(std::chrono::milliseconds target_latency)
{
    return std::min(target_latency / target_divisor, longest_first_wait);
}

} // namespace hemlockshelf
