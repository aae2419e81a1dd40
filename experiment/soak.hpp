#ifndef HEMLOCKSHELF_EXPERIMENT_SOAK_HPP
#define HEMLOCKSHELF_EXPERIMENT_SOAK_HPP

#include <chrono>
#include <cstdint>
#include <string>

namespace hemlockshelf {

/// Options of a soak run.
struct soak_options
{
    std::string bin_folder_;
    std::string examples_folder_;
    std::chrono::minutes duration_{10};
    std::uint64_t seed_ = 1;
};

/// Runs trials with random meshes and disturbances until the duration has
/// elapsed, and prints the result of each. Returns the number of trials with a
/// problem.
int run_soak(const soak_options& options);

} // namespace hemlockshelf

#endif
