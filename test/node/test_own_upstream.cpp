#include "node/local_upstream.hpp"

#include "hemlockshelf/core/manual_clock.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

upstream_announcement
announce(const char* instance, std::uint64_t started, std::uint64_t sequence)
{
    upstream_announcement announcement;
    announcement.order_ = {instance, started, sequence};
    return announcement;
}

} // namespace

// Guards against an announcement that was held up on its way and speaks for an
// instance that has been replaced at the same address.
Test(own_upstream, an_older_start_does_not_replace_a_newer_one)
{
    manual_clock time;
    local_upstream upstream(time, 6s);
    cr_assert(upstream.announce(announce("i-1", 1000, 9)));
    cr_assert(upstream.announce(announce("i-2", 2000, 1)));
    cr_assert(!upstream.announce(announce("i-1", 1000, 10)));
    cr_assert(upstream.current()->order_.instance_ == "i-2");
}

// Guards against an instance that starts again under its name and is ignored
// because its counts start anew.
Test(own_upstream, a_new_start_under_the_same_name_counts_anew)
{
    manual_clock time;
    local_upstream upstream(time, 6s);
    upstream.announce(announce("i-1", 1000, 9));
    cr_assert(upstream.withdraw("i-1"));
    cr_assert(upstream.current()->draining_);
    cr_assert(!upstream.announce(announce("i-1", 1000, 10)));
    cr_assert(upstream.announce(announce("i-1", 2000, 1)));
    cr_assert(!upstream.current()->draining_);
}

Test(own_upstream, a_withdrawal_of_another_instance_changes_nothing)
{
    manual_clock time;
    local_upstream upstream(time, 6s);
    cr_assert(!upstream.withdraw("i-1"));
    upstream.announce(announce("i-2", 2000, 1));
    cr_assert(!upstream.withdraw("i-1"));
    cr_assert(!upstream.current()->draining_);
}

Test(own_upstream, a_silent_upstream_is_forgotten)
{
    manual_clock time;
    local_upstream upstream(time, 6s);
    upstream.announce(announce("i-1", 1000, 1));
    time.advance(5s);
    cr_assert(upstream.current().has_value());
    time.advance(2s);
    cr_assert(!upstream.current());
}
