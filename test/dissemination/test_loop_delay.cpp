#include "hemlockshelf/dissemination/loop_delay.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

// Guards against a delay that is forgotten while messages that waited for it
// may still be handled, and against one that is never forgotten.
Test(loop_delay, the_greatest_delay_is_remembered_for_a_time)
{
    const steady_time start{1000s};
    loop_delay delay;
    cr_assert(greatest_delay(delay, start) == 0s);
    record_task(delay, start, start + 700ms);
    record_task(delay, start + 800ms, start + 810ms);
    cr_assert(greatest_delay(delay, start + 810ms) == 700ms);
    const auto next = start + 700ms + loop_delay_memory;
    record_task(delay, next, next + 20ms);
    cr_assert(greatest_delay(delay, next + 20ms) == 700ms);
    const auto last = next + 20ms + loop_delay_memory;
    record_task(delay, last, last);
    cr_assert(greatest_delay(delay, last) == 20ms);
    cr_assert(greatest_delay(delay, last + 2 * loop_delay_memory) == 0s);
}
