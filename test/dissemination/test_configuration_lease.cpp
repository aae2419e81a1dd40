#include "hemlockshelf/dissemination/configuration_lease.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

// Guards against a node that is cut off, or that has lost the platform together
// with all others, and refuses calls that no better node could take.
Test(configuration_lease, a_node_that_is_cut_off_goes_on)
{
    confirmation_outlook outlook;
    outlook.has_readers_ = true;
    outlook.since_heard_ = 5s;
    cr_assert(may_rely_unconfirmed(outlook));
    outlook.since_heard_.reset();
    cr_assert(may_rely_unconfirmed(outlook));
    outlook.has_readers_ = false;
    outlook.loop_delay_ = 2s;
    cr_assert(may_rely_unconfirmed(outlook));
}

// Guards against calls that are handled by an old version on a node that knows
// of a newer one, that hears others too late, or that has too little processor
// time to hear them.
Test(configuration_lease, a_node_that_is_slow_or_behind_does_not)
{
    confirmation_outlook behind;
    behind.knows_newer_ = true;
    cr_assert(!may_rely_unconfirmed(behind));
    confirmation_outlook reads_late;
    reads_late.reads_platform_ = true;
    cr_assert(!may_rely_unconfirmed(reads_late));
    confirmation_outlook hears_late;
    hears_late.has_readers_ = true;
    hears_late.since_heard_ = 200ms;
    cr_assert(!may_rely_unconfirmed(hears_late));
    confirmation_outlook slow;
    slow.has_readers_ = true;
    slow.loop_delay_ = 700ms;
    cr_assert(!may_rely_unconfirmed(slow));
}

// Guards against a lease that outlives its last confirmation, or that an older
// confirmation shortens.
Test(configuration_lease, a_confirmation_lasts_for_its_lifetime)
{
    const boot_time start{1000s};
    configuration_lease lease;
    cr_assert(!lease.is_valid(start, 0s));
    lease.confirm(start);
    lease.confirm(start - 1s);
    cr_assert(lease.is_valid(start + configuration_lifetime - 1ms, 0s));
    cr_assert(!lease.is_valid(start + configuration_lifetime, 0s));
    lease.set_outlook({});
    cr_assert(lease.is_valid(start + configuration_lifetime, 0s));
    lease.require_confirmation();
    cr_assert(!lease.is_valid(start + configuration_lifetime, 0s));
}

// Guards against a node whose control loop has stood still since it last looked
// at its confirmations.
Test(configuration_lease, a_loop_that_stands_still_counts_as_slow)
{
    const boot_time now{1000s};
    configuration_lease lease;
    confirmation_outlook outlook;
    outlook.has_readers_ = true;
    lease.set_outlook(outlook);
    cr_assert(lease.is_valid(now, 100ms));
    cr_assert(!lease.is_valid(now, 1s));
}
