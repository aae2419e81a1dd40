#include <chrono>
#include <optional>

#include "adapters/http/upstream_gate.hpp"
#include "call_fixture.hpp"
#include "hemlockshelf/core/manual_clock.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;
using namespace std::chrono_literals;

namespace {

constexpr bit_rate slow_link{7'000'000};

gate_call upload(steady_time now)
{
    gate_call call;
    call.entry_vm_ = vm_id{"entry"};
    call.deadline_ = now + 4s;
    call.awaits_body_ = true;
    call.body_ = byte_count{60'000};
    return call;
}

/// A gate on a slow link whose owner refreshes it at `next_refresh`.
struct fixture
{
    static gate_settings limits()
    {
        gate_settings settings;
        settings.link_ = slow_link;
        return settings;
    }

    static upstream_announcement announced()
    {
        return {
            service_name{"catalogue"}, client_account_id{"regie"},
            "127.63.200.2:1", slot_count{18}, connection_count{560}};
    }

    void refresh_until(steady_time end)
    {
        while (!decided_at_ && time_.now() < end)
        {
            time_.advance(gate_.next_refresh() - time_.now());
            gate_.refresh();
        }
    }

    const call_settings settings_ = test_settings();
    manual_clock time_;
    null_metrics metrics_;
    upstream_gate gate_{settings_, limits(), time_, announced, metrics_};
    std::optional<steady_time> decided_at_;
};

} // namespace

// Guards against a gate that never gives the link of an overdue body to the
// waiting upload, or only at its next regular refresh.
Test(gate_refresh, the_link_of_an_overdue_body_is_free_in_time)
{
    fixture gate;
    const auto start = gate.time_.now();
    gate.gate_.offer(upload(start), {});
    const auto waiting = gate.gate_.offer(
        upload(start),
        [&](std::optional<refusal_reason> reason)
        {
            cr_assert(!reason);
            gate.decided_at_ = gate.time_.now();
        });
    cr_assert(waiting.admission_ == admission::queued);
    gate.refresh_until(start + 2s);
    cr_assert(gate.decided_at_.has_value());
    // Twice the 85.7 ms that the link needs for the body, plus 500 ms.
    const auto waited = *gate.decided_at_ - start;
    cr_assert_geq(waited, 671ms);
    cr_assert_lt(waited, 672ms, "%ld ms", long(waited / 1ms));
}

// Guards against an owner that refreshes without pause, and against one that
// sleeps so long that it notices a drain late.
Test(gate_refresh, the_owner_sleeps_between_refreshes)
{
    fixture gate;
    const auto start = gate.time_.now();
    cr_assert(gate.gate_.next_refresh() == start + 200ms);
    gate.gate_.offer(upload(start), {});
    gate.time_.advance(700ms);
    cr_assert(gate.gate_.next_refresh() == start + 705ms);
}
