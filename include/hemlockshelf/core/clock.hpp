#ifndef HEMLOCKSHELF_CORE_CLOCK_HPP
#define HEMLOCKSHELF_CORE_CLOCK_HPP

#include <chrono>

namespace hemlockshelf {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;

/// Source of time. Code that depends on the time gets it from here or as an
/// argument, so that tests can control it.
class clock
{
public:
    virtual ~clock() = default;

    /// Returns the monotonic time, for deadlines and intervals.
    [[nodiscard]] virtual steady_time now() const = 0;

    /// Returns the wall-clock time, for audit entries, incarnations and the
    /// comparison with an upstream's start only.
    [[nodiscard]] virtual wall_time wall_now() const = 0;

protected:
    clock() = default;
    clock(const clock&) = default;
    clock& operator=(const clock&) = default;
};

} // namespace hemlockshelf

#endif
