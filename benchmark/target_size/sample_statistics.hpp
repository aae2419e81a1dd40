#ifndef HEMLOCKSHELF_BENCHMARK_TARGET_SIZE_SAMPLE_STATISTICS_HPP
#define HEMLOCKSHELF_BENCHMARK_TARGET_SIZE_SAMPLE_STATISTICS_HPP

#include <chrono>
#include <vector>

#include <nlohmann/json.hpp>

namespace hemlockshelf {

using duration_samples = std::vector<std::chrono::nanoseconds>;

/// Returns minimum, median, p99 and maximum in microseconds.
nlohmann::json summarize(duration_samples samples);

} // namespace hemlockshelf

#endif
