#include "hemlockshelf/gate/connection_counts.hpp"

#include <chrono>

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

constexpr token_rate pace{100, 8};

} // namespace

// Guards against more open connections than the upstream accepts and against
// a burst of new ones, in any sequence of operations.
Test(connection_ledger, never_exceeds_limit_or_pace)
{
    cr_assert(rc::check(
        []
        {
            connection_counts ledger;
            ledger.limit_ = connection_count{*rc::gen::inRange(0U, 30U)};
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
                    release_connection(ledger, *rc::gen::arbitrary<bool>());
                    break;
                case 1:
                    drop_idle_connection(ledger);
                    break;
                default:
                    const auto taken = acquire_connection(ledger, pace, now);
                    opened += taken.grant_ == connection_action::open ? 1 : 0;
                    RC_ASSERT(
                        taken.grant_ != connection_action::wait ||
                        taken.retry_at_ > now);
                }
                RC_ASSERT(
                    ledger.in_use_ + ledger.idle_ <= ledger.limit_.value());
            }
            const std::chrono::duration<double> passed = now - start;
            RC_ASSERT(
                opened <= pace.burst_ + pace.per_second_ * passed.count());
        }));
}

// Guards against a pool that stays above a limit that has been lowered.
Test(connection_ledger, shrinks_with_the_limit)
{
    connection_counts ledger;
    ledger.limit_ = connection_count{8};
    const steady_time now{1000s};
    for (int call = 0; call < 8; ++call)
    {
        acquire_connection(ledger, pace, now);
    }
    release_connection(ledger, true);
    release_connection(ledger, true);
    ledger.limit_ = connection_count{5};
    cr_assert_eq(surplus_connections(ledger), 2);
    drop_idle_connection(ledger);
    drop_idle_connection(ledger);
    cr_assert_not(release_connection(ledger, true));
    cr_assert(release_connection(ledger, true));
}
