#include "node/poll_policy.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

// Guards against a fleet in which every node reads every published revision.
// These reads filled the links of a deployment of 83 nodes.
Test(reader_duty, only_readers_follow_the_platform)
{
    reader_status status;
    cr_assert(choose_poll_mode(status) == poll_mode::off);
    status.rank_ = 1;
    cr_assert(choose_poll_mode(status) == poll_mode::follow);
}

// Guards against a node that reaches the platform but no other node and keeps
// an old revision for as long as that lasts.
Test(reader_duty, an_isolated_node_follows_the_platform)
{
    reader_status status;
    status.time_since_contact_ = 1s;
    cr_assert(choose_poll_mode(status) == poll_mode::off);
    status.time_since_contact_ = 2s;
    cr_assert(choose_poll_mode(status) == poll_mode::follow);
}

// Guards against a node that is never chosen as a reader again because it does
// not detect that it reaches the platform.
Test(reader_duty, a_node_that_lost_the_platform_looks_for_it)
{
    reader_status status;
    status.platform_lost_ = true;
    cr_assert(choose_poll_mode(status) == poll_mode::head_only);
}

// Guards against readers of one failure domain that all push each revision.
Test(reader_duty, later_readers_leave_the_push_to_the_first)
{
    cr_assert(push_delay(0) == 0ms);
    cr_assert(push_delay(0) < push_delay(1));
    cr_assert(push_delay(1) < push_delay(2));
    cr_assert(push_delay(2) < push_delay(std::nullopt));
    cr_assert(push_delay(std::nullopt) <= 1s);
}
