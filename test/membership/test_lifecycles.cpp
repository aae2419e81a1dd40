#include <chrono>

#include "hemlockshelf/membership/node_lifecycle.hpp"
#include "hemlockshelf/membership/upstream_lifecycle.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

const steady_time start{std::chrono::seconds{100}};

upstream_announcement make_announcement(bool draining)
{
    upstream_announcement announcement;
    announcement.draining_ = draining;
    return announcement;
}

} // namespace

// Guards against an upstream that is reported as ready before it is warm, and
// against one that stays listed after it fell silent.
Test(upstream_lifecycle, follows_the_announcements)
{
    const membership_settings settings;
    upstream_lifecycle lifecycle(settings);
    cr_assert(lifecycle.state() == upstream_state::absent);
    lifecycle.observe(make_announcement(false), start);
    cr_assert(lifecycle.state() == upstream_state::warming);
    lifecycle.observe(make_announcement(false), start);
    cr_assert(lifecycle.state() == upstream_state::warming);
    lifecycle.observe(make_announcement(false), start + settings.warm_up_time_);
    cr_assert(lifecycle.state() == upstream_state::ready);
    lifecycle.observe(std::nullopt, start + settings.warm_up_time_);
    cr_assert(lifecycle.state() == upstream_state::down);
    lifecycle.observe(make_announcement(false), start);
    cr_assert(lifecycle.state() == upstream_state::warming);
}

// Guards against new work for an upstream that drains and comes back.
Test(upstream_lifecycle, a_drained_upstream_may_come_back)
{
    upstream_lifecycle lifecycle({});
    lifecycle.observe(make_announcement(false), start);
    lifecycle.observe(make_announcement(true), start);
    cr_assert(lifecycle.state() == upstream_state::draining);
    lifecycle.observe(make_announcement(false), start);
    cr_assert(lifecycle.state() == upstream_state::warming);
}

// Guards against an announcement that undoes the drain of the whole node.
Test(upstream_lifecycle, a_node_that_drains_stays_so_until_it_leaves)
{
    upstream_lifecycle lifecycle({});
    lifecycle.observe(make_announcement(false), start);
    lifecycle.drain();
    lifecycle.observe(make_announcement(false), start);
    cr_assert(lifecycle.state() == upstream_state::draining);
    lifecycle.leave();
    lifecycle.observe(make_announcement(false), start);
    cr_assert(lifecycle.state() == upstream_state::left);
}

// Guards against a node that serves before it has caught up, at its start and
// after a pause.
Test(node_lifecycle, serves_only_what_is_current)
{
    node_lifecycle lifecycle;
    cr_assert(lifecycle.state() == node_state::starting);
    lifecycle.on_caught_up();
    cr_assert(lifecycle.state() == node_state::starting);
    lifecycle.on_listening();
    cr_assert(lifecycle.state() == node_state::joining);
    lifecycle.on_caught_up();
    cr_assert(lifecycle.state() == node_state::serving);
    lifecycle.on_paused();
    cr_assert(lifecycle.state() == node_state::joining);
    lifecycle.on_caught_up();
    cr_assert(lifecycle.state() == node_state::serving);
}

// Guards against a node that serves again after its drain began.
Test(node_lifecycle, a_drain_is_final)
{
    node_lifecycle lifecycle;
    lifecycle.on_listening();
    lifecycle.on_caught_up();
    lifecycle.drain();
    lifecycle.on_paused();
    lifecycle.on_caught_up();
    cr_assert(lifecycle.state() == node_state::draining);
    lifecycle.leave();
    cr_assert(lifecycle.state() == node_state::left);
}

// Guards against an upstream that is spared although it says that it is fast.
Test(upstream_lifecycle, an_upstream_says_how_long_it_is_slow)
{
    const membership_settings settings;
    upstream_lifecycle lifecycle(settings);
    auto announcement = make_announcement(false);
    announcement.remaining_warm_up_ = std::chrono::milliseconds{500};
    lifecycle.observe(announcement, start);
    lifecycle.observe(announcement, start + settings.warm_up_time_);
    cr_assert(lifecycle.state() == upstream_state::warming);
    announcement.remaining_warm_up_ = std::chrono::milliseconds{0};
    lifecycle.observe(announcement, start + std::chrono::milliseconds{1});
    cr_assert(lifecycle.state() == upstream_state::ready);
}
