#include "hemlockshelf/dissemination/loop_delay.hpp"

#include <algorithm>

namespace hemlockshelf {

void record_task(loop_delay& delay, steady_time due, steady_time now)
{
    if (now - delay.period_start_ >= loop_delay_memory)
    {
        const bool is_recent =
            now - delay.period_start_ < 2 * loop_delay_memory;
        delay.previous_ =
            is_recent ? delay.current_ : std::chrono::nanoseconds{0};
        delay.current_ = std::chrono::nanoseconds{0};
        delay.period_start_ = now;
    }
    delay.current_ =
        std::max<std::chrono::nanoseconds>(delay.current_, now - due);
}

std::chrono::nanoseconds
greatest_delay(const loop_delay& delay, steady_time now)
{
    const auto elapsed = now - delay.period_start_;
    if (elapsed >= 2 * loop_delay_memory)
    {
        return std::chrono::nanoseconds{0};
    }
    return elapsed >= loop_delay_memory
               ? delay.current_
               : std::max(delay.current_, delay.previous_);
}

} // namespace hemlockshelf
