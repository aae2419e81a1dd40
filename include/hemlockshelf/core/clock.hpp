#ifndef HEMLOCKSHELF_CORE_CLOCK_HPP
#define HEMLOCKSHELF_CORE_CLOCK_HPP

#include <chrono>
#include <cstdint>
#include <ratio>

namespace hemlockshelf {

using steady_time = std::chrono::steady_clock::time_point;

/// Clock that also counts the time during which the machine is suspended, which
/// the steady clock does not.
struct boot_clock
{
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};

using boot_time = boot_clock::time_point;
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

    /// Returns the time since the machine was started, for limits that hold
    /// although the machine is suspended. Equals `now` unless overridden.
    [[nodiscard]] virtual boot_time boot_now() const
    {
        return boot_time{now().time_since_epoch()};
    }

protected:
    clock() = default;
    clock(const clock&) = default;
    clock& operator=(const clock&) = default;
};

} // namespace hemlockshelf

#endif
