#ifndef HEMLOCKSHELF_RETRY_FIRST_GATE_WAIT_LIMIT_HPP
#define HEMLOCKSHELF_RETRY_FIRST_GATE_WAIT_LIMIT_HPP

#include <chrono>

namespace hemlockshelf {

/// Returns for how long a gate's queue may hold a request of a route with this
/// target latency while other gates have not been asked.
std::chrono::milliseconds
first_gate_wait_limit(std::chrono::milliseconds target_latency);

} // namespace hemlockshelf

#endif
