#ifndef HEMLOCKSHELF_DISSEMINATION_LOOP_DELAY_HPP
#define HEMLOCKSHELF_DISSEMINATION_LOOP_DELAY_HPP

#include <chrono>

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// Time for which a delay of the control loop is remembered.
constexpr std::chrono::seconds loop_delay_memory{3};

/// Delay from which a loop counts as late. Other nodes of the failure domain
/// give up on an answer of this node after this time.
constexpr std::chrono::milliseconds long_loop_delay{250};

/// How late the tasks of an event loop have run. A message that arrives while
/// the loop is late waits about as long before it is handled.
struct loop_delay
{
    /// Greatest delay since `period_start_`.
    std::chrono::nanoseconds current_{0};
    /// Greatest delay of the period before.
    std::chrono::nanoseconds previous_{0};
    steady_time period_start_;
};

/// Records that a task that was due at `due` has begun at `now`.
void record_task(loop_delay& delay, steady_time due, steady_time now);

/// Returns the greatest delay that was recorded within the last
/// `loop_delay_memory`, and up to twice that time.
std::chrono::nanoseconds
greatest_delay(const loop_delay& delay, steady_time now);

} // namespace hemlockshelf

#endif
