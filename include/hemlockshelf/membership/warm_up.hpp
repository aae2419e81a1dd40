#ifndef HEMLOCKSHELF_MEMBERSHIP_WARM_UP_HPP
#define HEMLOCKSHELF_MEMBERSHIP_WARM_UP_HPP

#include <chrono>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Returns how long the upstream on `vm` is reported as warming: `least` and up
/// to half of it more. Upstreams that start together, as those of a failure
/// domain that returns do, would otherwise all be reported as ready within the
/// same moment, and the push of one record by every node holds up the deltas.
std::chrono::milliseconds
jittered_warm_up_time(std::chrono::milliseconds least, const vm_id& vm);

} // namespace hemlockshelf

#endif
