#ifndef HEMLOCKSHELF_BENCHMARK_TARGET_SIZE_RESOURCE_USAGE_HPP
#define HEMLOCKSHELF_BENCHMARK_TARGET_SIZE_RESOURCE_USAGE_HPP

#include <chrono>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Returns the resident memory of this process.
byte_count resident_memory();

/// Returns the processor time that this process has used, all threads.
std::chrono::nanoseconds processor_time();

} // namespace hemlockshelf

#endif
