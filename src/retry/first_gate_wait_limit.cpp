#include "hemlockshelf/retry/first_gate_wait_limit.hpp"

#include <algorithm>

namespace hemlockshelf {

namespace {

// A gate in another region responds after about 40 ms. Asking it to avoid a
// shorter wait would be slower and use the link between the regions.
constexpr std::chrono::milliseconds max_first_wait{50};
// Leaves the other half of the target latency for another gate.
constexpr int target_divisor = 2;

} // namespace

std::chrono::milliseconds
first_gate_wait_limit(std::chrono::milliseconds target_latency)
{
    return std::min(target_latency / target_divisor, max_first_wait);
}

} // namespace hemlockshelf
