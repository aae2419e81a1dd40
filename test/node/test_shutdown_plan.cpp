#include "node/shutdown_plan.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

// The nodes of a deployment are restarted one after another while a service has
// few upstreams left. An upstream that its node withdraws too early is
// unavailable for the whole notice, so that several are unavailable at once.

namespace {

constexpr steady_time started{1000s};
// Time from the end of a node to the first call that its replacement serves.
constexpr auto restart_time = 1s;

/// Returns the longest time for which all of `nodes` upstreams are unavailable
/// while their nodes are restarted `gap` apart.
std::chrono::milliseconds longest_outage(
    const call_settings& settings, int nodes, std::chrono::milliseconds gap)
{
    std::vector<shutdown_plan> plans;
    plans.reserve(static_cast<std::size_t>(nodes));
    for (int node = 0; node < nodes; ++node)
    {
        plans.push_back(plan_shutdown(settings, started + node * gap));
    }
    std::chrono::milliseconds longest{0};
    std::chrono::milliseconds current{0};
    for (auto now = started; now < started + 20s; now += 1ms)
    {
        const bool out = std::ranges::all_of(
            plans,
            [now](const shutdown_plan& plan)
            {
                return now >= plan.withdraw_upstream_at_ &&
                       now < plan.close_at_ + restart_time;
            });
        current = out ? current + 1ms : 0ms;
        longest = std::max(longest, current);
    }
    return longest;
}

call_settings deployed_settings()
{
    call_settings settings;
    settings.drain_notice_ = 2500ms;
    settings.gate_drain_notice_ = 500ms;
    settings.stop_grace_ = 6s;
    return settings;
}

} // namespace

// Guards against a rolling restart during which the last two upstreams of a
// service are unavailable at the same time.
Test(shutdown_plan, a_rolling_restart_leaves_one_of_two_upstreams)
{
    cr_assert_eq(longest_outage(deployed_settings(), 2, 1500ms).count(), 0);
    auto at_once = deployed_settings();
    at_once.gate_drain_notice_ = at_once.drain_notice_;
    cr_assert_gt(longest_outage(at_once, 2, 1500ms).count(), 1000);
}

// Guards against steps out of order when settings contradict each other.
Test(shutdown_plan, steps_are_in_order)
{
    auto settings = deployed_settings();
    settings.gate_drain_notice_ = 10s;
    settings.stop_grace_ = 1s;
    const auto plan = plan_shutdown(settings, started);
    cr_assert(plan.withdraw_upstream_at_ >= started);
    cr_assert(plan.withdraw_upstream_at_ <= plan.close_at_);
    cr_assert(plan.close_at_ <= plan.refuse_at_);
    cr_assert(plan.refuse_at_ <= plan.terminate_at_);
}

// Guards against a waiting request whose connection is closed when its node
// stops. It must be refused before that, but not while it could still be
// served.
Test(shutdown_plan, waiting_requests_are_refused_shortly_before_the_cut)
{
    const auto plan = plan_shutdown(deployed_settings(), started);
    cr_assert(plan.refuse_at_ <= plan.terminate_at_ - 200ms);
    cr_assert(plan.refuse_at_ >= plan.terminate_at_ - 1s);
}

// Guards against calls that are cut long before the platform kills the process,
// and against a process that is killed because its calls were given all of the
// time. With a fixed limit of 5.4 s, calls of up to 8 s were cut although the
// grace time was 10 s, and processes with 6 s were killed before they had left.
Test(shutdown_plan, calls_in_progress_have_most_of_the_grace_time)
{
    for (const auto grace : {6s, 10s, 60s})
    {
        auto settings = deployed_settings();
        settings.stop_grace_ = grace;
        const auto plan = plan_shutdown(settings, started);
        cr_assert(plan.terminate_at_ >= started + grace * 5 / 6);
        cr_assert(plan.terminate_at_ <= started + grace - 800ms);
    }
}

// Guards against a node that cuts its calls at once because the grace time is
// not given.
Test(shutdown_plan, the_drain_limit_holds_while_the_grace_time_is_unknown)
{
    auto settings = deployed_settings();
    settings.stop_grace_ = 0ms;
    settings.drain_limit_ = 20s;
    cr_assert(plan_shutdown(settings, started).terminate_at_ == started + 20s);
}
