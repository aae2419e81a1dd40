#include "hemlockshelf/dissemination/peer_link.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

const steady_time now{1000s};

} // namespace

// Guards against a silent connection that is kept, or replaced only after a
// back-off although new connections work.
Test(peer_link, a_silent_connection_breaks_and_is_replaced_at_once)
{
    peer_link link;
    link.on_answered();
    cr_assert(link.state() == link_state::live);
    link.on_timeout(false, now, 0);
    cr_assert(link.state() == link_state::broken);
    cr_assert(link.may_connect(now));
    link.reconnect();
    cr_assert(link.state() == link_state::connecting);
}

// Guards against a connection that is closed because one answer was slow.
Test(peer_link, a_late_answer_on_a_busy_connection_only_raises_suspicion)
{
    peer_link link;
    link.on_answered();
    link.on_timeout(true, now, 0);
    cr_assert(link.state() == link_state::suspect);
    link.on_answered();
    cr_assert(link.state() == link_state::live);
    link.on_timeout(true, now, 0);
    link.on_timeout(true, now, 0);
    cr_assert(link.state() == link_state::broken);
}

// Guards against many nodes that reconnect to a failed peer without pause.
Test(peer_link, the_back_off_grows_and_ends_with_an_answer)
{
    peer_link link;
    link.on_disconnected(now, 0);
    cr_assert_not(link.may_connect(now));
    cr_assert(link.may_connect(now + 125ms));
    link.reconnect();
    link.on_disconnected(now, 0);
    cr_assert_not(link.may_connect(now + 125ms));
    cr_assert(link.may_connect(now + 250ms));
    link.reconnect();
    link.on_answered();
    link.on_disconnected(now, 0);
    cr_assert(link.may_connect(now + 125ms));
}
