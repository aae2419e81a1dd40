#include "hemlockshelf/gate/connection_counts.hpp"

#include <chrono>

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

constexpr token_rate pace{100, 8};

} // namespace

// Guards, in any sequence of operations, against more open connections than the
// upstream accepts and against bursts of new ones.
Test(connection_ledger, never_exceeds_limit_or_pace)
{
    cr_assert(rc::check(
        []
        {
            connection_counts counts;
            counts.limit_ = connection_count{*rc::gen::inRange(0U, 30U)};
            const steady_time start{1000s};
            auto now = start;
            int opened = 0;
            const int steps = *rc::gen::inRange(0, 300);
            for (int step = 0; step < steps; ++step)
            {
                now += *rc::gen::inRange(0, 10) * 1ms;
                switch (*rc::gen::inRange(0, 4))
                {
                case 0:
                    release_connection(counts, *rc::gen::arbitrary<bool>());
                    break;
                case 1:
                    drop_idle_connection(counts);
                    break;
                default:
                    const auto taken = acquire_connection(counts, pace, now);
                    opened += taken.grant_ == connection_action::open ? 1 : 0;
                    RC_ASSERT(
                        taken.grant_ != connection_action::wait ||
                        taken.retry_at_ > now);
                }
                RC_ASSERT(
                    counts.in_use_ + counts.idle_ <= counts.limit_.value());
            }
            const std::chrono::duration<double> passed = now - start;
            RC_ASSERT(
                opened <= pace.burst_ + pace.per_second_ * passed.count());
        }));
}

// Guards against a pool that stays above its limit after the limit was lowered.
Test(connection_ledger, shrinks_with_the_limit)
{
    connection_counts counts;
    counts.limit_ = connection_count{8};
    const steady_time now{1000s};
    for (int call = 0; call < 8; ++call)
    {
        acquire_connection(counts, pace, now);
    }
    release_connection(counts, true);
    release_connection(counts, true);
    counts.limit_ = connection_count{5};
    cr_assert_eq(surplus_connections(counts), 2);
    drop_idle_connection(counts);
    drop_idle_connection(counts);
    cr_assert_not(release_connection(counts, true));
    cr_assert(release_connection(counts, true));
}
