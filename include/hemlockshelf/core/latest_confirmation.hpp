#ifndef HEMLOCKSHELF_CORE_LATEST_CONFIRMATION_HPP
#define HEMLOCKSHELF_CORE_LATEST_CONFIRMATION_HPP

#include <atomic>
#include <chrono>
#include <optional>

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// The time of the latest confirmation on which a lease rests. Thread-safe.
class latest_confirmation
{
public:
    /// Records a confirmation. Earlier ones than the latest have no effect.
    void record(boot_time at)
    {
        auto last = at_.load();
        while (last < at && !at_.compare_exchange_weak(last, at))
        {}
    }

    /// Returns the time since the latest one, or nothing if there was none.
    [[nodiscard]] std::optional<std::chrono::nanoseconds>
    age(boot_time now) const
    {
        const auto last = at_.load();
        return last == boot_time::min() ? std::nullopt
                                        : std::optional(now - last);
    }

private:
    std::atomic<boot_time> at_{boot_time::min()};
};

} // namespace hemlockshelf

#endif
