#ifndef HEMLOCKSHELF_RETRY_FIRST_WAIT_HPP
#define HEMLOCKSHELF_RETRY_FIRST_WAIT_HPP

#include <chrono>

namespace hemlockshelf {

/// Returns how long a gate may queue a request of a route with this target
/// latency while other gates have not been asked.
std::chrono::milliseconds first_wait(std::chrono::milliseconds target_latency);

} // namespace hemlockshelf

#endif
