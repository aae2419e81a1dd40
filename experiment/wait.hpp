#ifndef HEMLOCKSHELF_EXPERIMENT_WAIT_HPP
#define HEMLOCKSHELF_EXPERIMENT_WAIT_HPP

#include <chrono>
#include <thread>

#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// Time between two checks of a condition.
inline constexpr std::chrono::milliseconds poll_step{20};

/// Waits until `condition` holds. Returns whether it did within `timeout`.
template <class Condition>
bool wait_until(std::chrono::milliseconds timeout, Condition condition)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= until)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_step);
    }
    return true;
}

/// Returns the wall-clock time, which all processes of a run share.
inline event_time event_now()
{
    return std::chrono::duration_cast<event_time>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace hemlockshelf

#endif
