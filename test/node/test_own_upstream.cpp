#include "node/local_upstream.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "hemlockshelf/core/manual_clock.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

upstream_announcement announce(
    const char* instance,
    std::optional<std::uint64_t> started,
    std::uint64_t sequence)
{
    upstream_announcement announcement;
    announcement.order_ = {instance, started, sequence};
    return announcement;
}

/// Returns whether the upstream takes in the announcement.
bool accepts(
    local_upstream& upstream, const upstream_announcement& announcement)
{
    return upstream.announce(announcement) == announcement_outcome::accepted;
}

std::uint64_t wall_milliseconds(const manual_clock& time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            time.wall_now().time_since_epoch())
            .count());
}

/// Replaces the upstream's state as a restart of the node does: the next
/// process knows what other nodes hold.
std::unique_ptr<local_upstream>
restart(const manual_clock& time, const local_upstream& before)
{
    auto next = std::make_unique<local_upstream>(time, 6s);
    if (const auto held = before.acknowledged())
    {
        next->restore(*held);
    }
    return next;
}

bool gets_work(const local_upstream& upstream)
{
    const auto current = upstream.current();
    return current && !current->draining_;
}

} // namespace

// Guards against an instance that is used again after its deregistration has
// been acknowledged: the node had just restarted and not yet heard of it, and
// an announcement sent before arrived late.
Test(own_upstream, a_withdrawal_before_the_first_announcement_holds)
{
    manual_clock time;
    time.advance(10s);
    const auto started = wall_milliseconds(time) - 5000;
    local_upstream upstream(time, 6s);
    upstream.withdraw("i-1");
    cr_assert(!accepts(upstream, announce("i-1", started, 5)));
    cr_assert(!accepts(upstream, announce("i-1", std::nullopt, 6)));
    cr_assert(!upstream.current());
    time.advance(1s);
    cr_assert(accepts(upstream, announce("i-1", wall_milliseconds(time), 1)));
    cr_assert(gets_work(upstream));
}

// Guards against a deregistration that ends with the process that acknowledged
// it.
Test(own_upstream, a_withdrawal_outlasts_a_restart)
{
    const manual_clock time;
    local_upstream before(time, 6s);
    before.announce(announce("i-1", 1000, 4));
    before.withdraw("i-1");
    const auto after = restart(time, before);
    cr_assert(!accepts(*after, announce("i-1", 1000, 5)));
    cr_assert(!after->current());
    cr_assert(accepts(*after, announce("i-1", 2000, 1)));
    cr_assert(gets_work(*after));
}

// Guards against a late announcement that arrives before the restarted node has
// learned of the departure.
Test(own_upstream, a_restored_withdrawal_ends_what_came_before_it)
{
    const manual_clock time;
    local_upstream before(time, 6s);
    before.announce(announce("i-1", 1000, 4));
    before.withdraw("i-1");
    local_upstream after(time, 6s);
    cr_assert(accepts(after, announce("i-1", 1000, 5)));
    after.restore(*before.acknowledged());
    cr_assert(!gets_work(after));
}

// Guards against a late announcement of readiness that undoes a drain which an
// earlier process has acknowledged.
Test(own_upstream, a_drain_outlasts_a_restart)
{
    const manual_clock time;
    local_upstream before(time, 6s);
    auto draining = announce("i-1", 1000, 6);
    draining.draining_ = true;
    before.announce(draining);
    const auto after = restart(time, before);
    cr_assert(!accepts(*after, announce("i-1", 1000, 5)));
    cr_assert(!after->current());
}

// Guards against an operator's drain that ends with the process, of an upstream
// that does not name its starts.
Test(own_upstream, an_operators_drain_outlasts_a_restart)
{
    const manual_clock time;
    local_upstream before(time, 6s);
    before.announce({});
    before.drain();
    const auto after = restart(time, before);
    cr_assert(accepts(*after, {}));
    cr_assert(!gets_work(*after));
}

// Guards against what was held for an earlier start that takes a later one out
// of use.
Test(own_upstream, a_later_start_is_not_bound_by_what_was_held)
{
    const manual_clock time;
    local_upstream before(time, 6s);
    before.announce(announce("i-1", 1000, 4));
    before.withdraw("i-1");
    local_upstream after(time, 6s);
    after.announce(announce("i-1", 2000, 1));
    after.restore(*before.acknowledged());
    cr_assert(gets_work(after));
    cr_assert(accepts(after, announce("i-1", 2000, 2)));
}

// Guards against a withdrawal that is forgotten when another upstream takes the
// place of the withdrawn one.
Test(own_upstream, a_withdrawal_outlasts_another_upstream)
{
    const manual_clock time;
    const auto now = wall_milliseconds(time);
    local_upstream announced(time, 6s);
    announced.withdraw("i-1");
    cr_assert(accepts(announced, announce("i-2", now - 2000, 1)));
    cr_assert(!accepts(announced, announce("i-1", now - 1000, 1)));
    local_upstream restored(time, 6s);
    restored.withdraw("i-1");
    restored.restore({{"i-2", now - 2000, 1}});
    cr_assert(!accepts(restored, announce("i-1", now - 1000, 1)));
}

// Guards against an announcement that lacks the start, which an instance always
// gives, and passes for a new start.
Test(own_upstream, an_announcement_without_its_start_is_no_new_start)
{
    const manual_clock time;
    local_upstream upstream(time, 6s);
    upstream.announce(announce("i-1", 1000, 4));
    upstream.withdraw("i-1");
    cr_assert(!accepts(upstream, announce("i-1", std::nullopt, 9)));
    cr_assert(!gets_work(upstream));
}

// Guards against any order of late, repeated and reordered messages of one name
// around restarts that brings back a start which has left, or that keeps the
// next one out of use.
Test(own_upstream, messages_in_any_order_never_bring_back_what_left)
{
    cr_assert(rc::check(
        []
        {
            manual_clock time;
            time.advance(100s);
            auto upstream = std::make_unique<local_upstream>(time, 6s);
            std::uint64_t newest = wall_milliseconds(time);
            std::uint64_t sequence = 0;
            std::vector<upstream_announcement> sent;
            std::uint64_t left = 0;
            std::map<std::uint64_t, std::uint64_t> drained_at;
            const auto steps = *rc::gen::inRange(1, 40);
            for (int step = 0; step < steps; ++step)
            {
                time.advance(
                    std::chrono::milliseconds{*rc::gen::inRange(1, 3000)});
                switch (*rc::gen::inRange(0, 6))
                {
                case 0:
                    newest = wall_milliseconds(time);
                    sequence = 0;
                    break;
                case 1:
                {
                    const auto known = upstream->acknowledged();
                    const auto start =
                        known ? known->order_.started_ms_ : std::nullopt;
                    left = std::max(left, start.value_or(newest));
                    upstream->withdraw("i-1");
                    break;
                }
                case 2:
                    upstream = restart(time, *upstream);
                    break;
                default:
                {
                    const bool is_late =
                        !sent.empty() && *rc::gen::arbitrary<bool>();
                    if (!is_late)
                    {
                        sent.push_back(announce("i-1", newest, ++sequence));
                        sent.back().draining_ = *rc::gen::arbitrary<bool>();
                    }
                    const auto message =
                        is_late ? *rc::gen::elementOf(sent) : sent.back();
                    const bool taken = accepts(*upstream, message);
                    auto& drained = drained_at[*message.order_.started_ms_];
                    if (taken && message.draining_)
                    {
                        drained = *message.order_.sequence_;
                    }
                    break;
                }
                }
                const auto current = upstream->current();
                if (current && !current->draining_)
                {
                    const auto& order = current->order_;
                    RC_ASSERT(order.started_ms_ > left);
                    RC_ASSERT(order.sequence_ > drained_at[*order.started_ms_]);
                }
            }
            time.advance(1ms);
            cr_assert(accepts(
                *upstream, announce("i-1", wall_milliseconds(time), 1)));
            RC_ASSERT(gets_work(*upstream));
        }));
}

// Guards against a delayed announcement of an instance that has been replaced
// at the same address.
Test(own_upstream, an_older_start_does_not_replace_a_newer_one)
{
    manual_clock time;
    local_upstream upstream(time, 6s);
    cr_assert(accepts(upstream, announce("i-1", 1000, 9)));
    cr_assert(accepts(upstream, announce("i-2", 2000, 1)));
    cr_assert(!accepts(upstream, announce("i-1", 1000, 10)));
    cr_assert(upstream.current()->order_.instance_ == "i-2");
}

// Guards against an instance that restarts under the same name and is ignored
// because its sequence numbers start again.
Test(own_upstream, a_new_start_under_the_same_name_counts_anew)
{
    manual_clock time;
    local_upstream upstream(time, 6s);
    upstream.announce(announce("i-1", 1000, 9));
    cr_assert(upstream.withdraw("i-1"));
    cr_assert(upstream.current()->draining_);
    cr_assert(!accepts(upstream, announce("i-1", 1000, 10)));
    cr_assert(accepts(upstream, announce("i-1", 2000, 1)));
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

// Guards against an announcement of another sender that names a later start and
// keeps the upstream out of use for good: once that start is silent, the one
// that still announces itself is used, also if the other message comes again.
Test(own_upstream, a_later_start_that_is_silent_gives_way)
{
    manual_clock time;
    local_upstream upstream(time, 6s);
    const auto odd = announce("i-odd", 2000, 1);
    upstream.announce(announce("i-1", 1000, 1));
    upstream.announce(odd);
    time.advance(1500ms);
    cr_assert(
        upstream.announce(announce("i-1", 1000, 2)) ==
        announcement_outcome::replaced);
    time.advance(5s);
    for (std::uint64_t sequence = 3; sequence < 10; ++sequence)
    {
        cr_assert(accepts(upstream, announce("i-1", 1000, sequence)));
        cr_assert(upstream.announce(odd) == announcement_outcome::late);
        cr_assert(gets_work(upstream));
        time.advance(1500ms);
    }
}

// The same of a later start of the upstream's own name.
Test(own_upstream, a_later_start_of_the_same_name_gives_way)
{
    manual_clock time;
    local_upstream upstream(time, 6s);
    upstream.announce(announce("i-1", 1000, 1));
    upstream.announce(announce("i-1", 2000, 1));
    time.advance(6500ms);
    cr_assert(accepts(upstream, announce("i-1", 1000, 6)));
    cr_assert(gets_work(upstream));
}

// Guards against a restart, or another node, that brings back what another
// sender has said.
Test(own_upstream, a_later_start_that_was_held_gives_way)
{
    manual_clock time;
    local_upstream before(time, 6s);
    before.announce(announce("i-odd", 2000, 1));
    const auto after = restart(time, before);
    cr_assert(!accepts(*after, announce("i-1", 1000, 4)));
    time.advance(6500ms);
    cr_assert(accepts(*after, announce("i-1", 1000, 5)));
    cr_assert(gets_work(*after));
}

// Guards against a start that no upstream can have had yet.
Test(own_upstream, a_start_in_the_future_is_refused)
{
    const manual_clock time;
    const auto now = wall_milliseconds(time);
    local_upstream upstream(time, 6s);
    const auto future = announce("i-1", now + 61'000, 1);
    cr_assert(upstream.announce(future) == announcement_outcome::in_future);
    upstream.restore({future.order_});
    upstream.restore({{"i-1"}, now + 61'000});
    cr_assert(!upstream.acknowledged());
    // Clocks may differ by seconds.
    cr_assert(accepts(upstream, announce("i-1", now + 5000, 1)));
}

// Guards against a sequence number of another sender that ends the use of the
// upstream for good.
Test(own_upstream, a_sequence_that_is_not_continued_gives_way)
{
    manual_clock time;
    local_upstream upstream(time, 6s);
    upstream.announce(announce("i-1", 1000, 1'000'000));
    cr_assert(
        upstream.announce(announce("i-1", 1000, 5)) ==
        announcement_outcome::late);
    time.advance(6500ms);
    // The last announcement once more is no sign of life.
    cr_assert(!accepts(upstream, announce("i-1", 1000, 1'000'000)));
    cr_assert(accepts(upstream, announce("i-1", 1000, 9)));
    cr_assert(gets_work(upstream));
}

// Guards against a late first announcement, with the number 0, that passes for
// the newest one and ends a drain.
Test(own_upstream, a_late_first_announcement_is_not_the_newest)
{
    const manual_clock time;
    local_upstream upstream(time, 6s);
    auto first = announce("i-1", 1000, 0);
    first.slots_ = slot_count{1};
    auto second = announce("i-1", 1000, 1);
    second.slots_ = slot_count{2};
    upstream.announce(second);
    cr_assert(upstream.announce(first) == announcement_outcome::late);
    cr_assert(upstream.current()->slots_ == slot_count{2});
    auto draining = announce("i-1", 1000, 2);
    draining.draining_ = true;
    upstream.announce(draining);
    cr_assert(!accepts(upstream, first));
    cr_assert(!gets_work(upstream));
    // A start in the first millisecond of the epoch is a start, too.
    local_upstream other(time, 6s);
    other.announce(announce("i-1", 0, 1));
    other.withdraw("i-1");
    cr_assert(!accepts(other, announce("i-1", 0, 2)));
    cr_assert(accepts(other, announce("i-1", 1, 1)));
}

// Guards against an earlier start, or a later announcement of the same one,
// that gets work although a drain was announced.
Test(own_upstream, a_drain_is_final_for_its_start)
{
    manual_clock time;
    local_upstream upstream(time, 6s);
    auto draining = announce("i-1", 2000, 6);
    draining.draining_ = true;
    upstream.announce(draining);
    for (int round = 0; round < 2; ++round)
    {
        cr_assert(!accepts(upstream, announce("i-1", 2000, 7)));
        cr_assert(!accepts(upstream, announce("i-1", 1000, 9)));
        cr_assert(!gets_work(upstream));
        time.advance(6500ms);
    }
    // The instance announces that it drains until it ends.
    draining.order_.sequence_ = 8;
    cr_assert(accepts(upstream, draining));
    cr_assert(upstream.current()->draining_);
    cr_assert(accepts(upstream, announce("i-1", 3000, 1)));
    cr_assert(gets_work(upstream));
}
