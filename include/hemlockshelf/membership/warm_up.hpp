#ifndef HEMLOCKSHELF_MEMBERSHIP_WARM_UP_HPP
#define HEMLOCKSHELF_MEMBERSHIP_WARM_UP_HPP

#include <chrono>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Returns how long the upstream on `vm` is reported as warming: `least` plus
/// up to half of it, derived from the hash of `vm`. Without the spread,
/// upstreams that start together, for example when a failure domain recovers,
/// would all become ready at once, and the record pushes of all nodes would
/// delay the deltas.
std::chrono::milliseconds
jittered_warm_up_time(std::chrono::milliseconds least, const vm_id& vm);

} // namespace hemlockshelf

#endif
