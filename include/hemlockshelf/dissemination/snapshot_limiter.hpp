#ifndef HEMLOCKSHELF_DISSEMINATION_SNAPSHOT_LIMITER_HPP
#define HEMLOCKSHELF_DISSEMINATION_SNAPSHOT_LIMITER_HPP

#include <chrono>
#include <cstddef>
#include <optional>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/dissemination/dissemination_settings.hpp"

namespace hemlockshelf {

/// Bounds the whole snapshots that a node serves, so that many nodes that
/// return at once neither fill its links nor its memory.
class snapshot_limiter
{
public:
    explicit snapshot_limiter(const dissemination_settings& settings);

    /// Admits one snapshot, or returns after which time to ask again.
    std::optional<std::chrono::milliseconds> admit_or_delay(steady_time now);

private:
    std::size_t limit_;
    std::chrono::milliseconds period_;
    std::chrono::milliseconds retry_after_;
    steady_time period_start_;
    std::size_t served_ = 0;
    /// Requests refused in this period; each is sent later than the last.
    std::size_t refused_ = 0;
};

} // namespace hemlockshelf

#endif
