#include "hemlockshelf/gate/admission.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>

#include <rapidcheck.h>

#include "hemlockshelf/gate/connection_counts.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

/// Applies random operations and keeps its own books.
class gate_model
{
public:
    gate_model()
    {
        change_capacity();
    }

    void step()
    {
        now_ += *rc::gen::inRange(0, 30) * 1ms;
        switch (*rc::gen::inRange(0, 12))
        {
        case 0:
            expire();
            break;
        case 1:
            cancel();
            break;
        case 2:
            change_capacity();
            break;
        case 3:
            toggle_drain();
            break;
        case 4:
        case 5:
        case 6:
            release();
            break;
        default:
            offer();
        }
        check();
    }

private:
    void offer()
    {
        const gate_call call{
            client_account_id{*rc::gen::element<std::string>("a", "b")},
            vm_id{*rc::gen::element<std::string>("e1", "e2")},
            *rc::gen::element(
                traffic_class::lookup, traffic_class::standard,
                traffic_class::bulk),
            now_ + *rc::gen::inRange(-5, 200) * 1ms};
        const auto result = offer_call(gate_, call, now_);
        offered_at_ = now_;
        take(result.events_);
        if (result.admission_ == admission::refused)
        {
            return;
        }
        RC_ASSERT(!gate_.draining_);
        RC_ASSERT(seen_.insert(result.id_).second);
        if (result.admission_ == admission::queued)
        {
            waiting_.insert(result.id_);
            return;
        }
        begin(result.id_);
    }

    // The owner sleeps until `next_expiry`, so it must lie ahead.
    void expire()
    {
        take(expire_waiting(gate_, now_));
        const auto next = next_expiry(gate_);
        RC_ASSERT(next.has_value() == !waiting_.empty());
        RC_ASSERT(!next || *next > now_);
    }

    void begin(gate_call_id id)
    {
        RC_ASSERT(running_.insert(id).second);
        RC_ASSERT(running_.size() <= concurrency_limit(gate_));
        RC_ASSERT(!gate_.draining_);
    }

    // Mostly a running call, sometimes one that does not run or never did.
    gate_call_id any_call() const
    {
        if (running_.empty() || *rc::gen::inRange(0, 4) == 0)
        {
            return gate_call_id{
                *rc::gen::inRange<std::uint64_t>(0, gate_.next_id_ + 1)};
        }
        return *rc::gen::elementOf(running_);
    }

    void release()
    {
        const auto id = any_call();
        const bool running = running_.erase(id) > 0;
        const auto events = release_call(gate_, id, now_);
        RC_ASSERT(events.has_value() == running);
        RC_ASSERT(!release_call(gate_, id, now_).has_value());
        if (events)
        {
            take(*events);
        }
    }

    void cancel()
    {
        const gate_call_id id{
            *rc::gen::inRange<std::uint64_t>(0, gate_.next_id_ + 1)};
        RC_ASSERT(cancel_waiting(gate_, id) == (waiting_.erase(id) > 0));
    }

    void change_capacity()
    {
        const slot_count slots{*rc::gen::inRange(0U, 12U)};
        const connection_count connections{*rc::gen::inRange(0U, 20U)};
        take(set_capacity(gate_, slots, connections, now_));
    }

    void toggle_drain()
    {
        if (gate_.draining_)
        {
            end_drain(gate_);
            return;
        }
        take(begin_drain(gate_));
        RC_ASSERT(waiting_.empty());
    }

    void take(const gate_events& events)
    {
        for (const auto& refused : events.refused_)
        {
            RC_ASSERT(waiting_.erase(refused.id_) == 1);
        }
        for (const auto id : events.started_)
        {
            RC_ASSERT(waiting_.erase(id) == 1);
            begin(id);
        }
    }

    void check() const
    {
        RC_ASSERT(gate_.running_.size() == running_.size());
        RC_ASSERT(gate_.queue_.size() == waiting_.size());
        RC_ASSERT(waiting_.size() <= gate_.settings_.queue_limit_);
        for (const auto& call : gate_.queue_)
        {
            RC_ASSERT(waiting_.contains(call.id_));
            RC_ASSERT(
                offered_at_ != now_ || call.call_.deadline_ <= now_ ||
                !may_start(gate_, call.call_.class_, now_));
        }
    }

    steady_time now_{1000s};
    steady_time offered_at_{};
    gate_state gate_{gate_settings{}};
    std::set<gate_call_id> seen_;
    std::set<gate_call_id> running_;
    std::set<gate_call_id> waiting_;
};

gate_state make_gate(std::uint32_t slots)
{
    gate_state gate{gate_settings{}};
    set_capacity(gate, slot_count{slots}, connection_count{100}, {});
    return gate;
}

gate_call make_call(traffic_class value, steady_time deadline)
{
    return {client_account_id{"a"}, vm_id{"e"}, value, deadline};
}

} // namespace

// Guards against more calls than slots or connections, a call that is lost,
// started twice, released twice, or run after a refusal, and a call that waits
// while a slot is free for it, in any sequence of operations.
Test(admission, keeps_its_books_in_any_sequence)
{
    cr_assert(rc::check(
        []
        {
            gate_model model;
            const int steps = *rc::gen::inRange(0, 200);
            for (int step = 0; step < steps; ++step)
            {
                model.step();
            }
        }));
}

// Guards against other classes in the slots that are kept for lookups, and
// against bulk in all the others.
Test(admission, keeps_a_reserve_for_lookups_and_limits_bulk)
{
    auto gate = make_gate(20);
    const steady_time now{1000s};
    for (int call = 0; call < 100; ++call)
    {
        offer_call(gate, make_call(traffic_class::bulk, now + 1s), now);
    }
    cr_assert_eq(gate.running_.size(), 10);
    for (int call = 0; call < 100; ++call)
    {
        offer_call(gate, make_call(traffic_class::standard, now + 1s), now);
    }
    cr_assert_eq(gate.running_.size(), 19);
    const auto lookup =
        offer_call(gate, make_call(traffic_class::lookup, now + 1s), now);
    cr_assert(lookup.admission_ == admission::admitted);
}

// Guards against a call that waits although it can't start in time: it is
// refused at once, so that its caller can go elsewhere.
Test(admission, refuses_at_once_what_cannot_start_in_time)
{
    auto gate = make_gate(1);
    const steady_time now{1000s};
    offer_call(gate, make_call(traffic_class::standard, now + 1s), now);
    const auto result =
        offer_call(gate, make_call(traffic_class::standard, now + 15ms), now);
    cr_assert(result.reason_ == refusal_reason::wait_too_long);
    cr_assert(refusal_kind(result.reason_) == error_kind::overloaded);
}

// Guards against work that starts after its deadline.
Test(admission, drops_waiting_calls_at_their_deadline)
{
    auto gate = make_gate(1);
    const steady_time now{1000s};
    const auto first =
        offer_call(gate, make_call(traffic_class::standard, now + 1s), now);
    const auto second =
        offer_call(gate, make_call(traffic_class::standard, now + 50ms), now);
    cr_assert(second.admission_ == admission::queued);
    cr_assert(next_expiry(gate) == now + 40ms);
    const auto events = release_call(gate, first.id_, now + 60ms);
    cr_assert(events->started_.empty());
    cr_assert_eq(events->refused_.size(), 1);
    cr_assert(events->refused_[0].reason_ == refusal_reason::expired);
}
