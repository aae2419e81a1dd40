#ifndef HEMLOCKSHELF_DISSEMINATION_SNAPSHOT_LIMITER_HPP
#define HEMLOCKSHELF_DISSEMINATION_SNAPSHOT_LIMITER_HPP

#include <chrono>
#include <cstddef>
#include <optional>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/dissemination/dissemination_settings.hpp"

namespace hemlockshelf {

/// Limits the rate of full snapshots that a node serves, so that many nodes
/// that recover at once do not exhaust its bandwidth or memory.
class snapshot_limiter
{
public:
    explicit snapshot_limiter(const dissemination_settings& settings);

    /// Admits one snapshot and returns nullopt, or refuses it and returns the
    /// delay after which to retry.
    std::optional<std::chrono::milliseconds> admit_or_delay(steady_time now);

private:
    std::size_t limit_;
    std::chrono::milliseconds period_;
    std::chrono::milliseconds retry_after_;
    steady_time period_start_;
    std::size_t served_ = 0;
    /// Requests refused in this period. The retry delay grows with it.
    std::size_t refused_ = 0;
};

} // namespace hemlockshelf

#endif
