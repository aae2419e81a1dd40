#include "node/shutdown_plan.hpp"

#include <algorithm>
#include <chrono>

namespace hemlockshelf {

namespace {

// Time for the refusals to be sent before connections are closed, on a machine
// that is short of CPU time.
constexpr std::chrono::milliseconds refusal_margin{400};

// Calls in progress may take five sixths of the grace time. The rest is for
// closing connections and leaving the cluster, on a machine that is short of
// processor time.
constexpr int grace_parts = 6;

std::chrono::milliseconds longest_drain(const call_settings& settings)
{
    const auto limit =
        settings.stop_grace_.count() > 0
            ? settings.stop_grace_ - settings.stop_grace_ / grace_parts
            : settings.drain_limit_;
    return std::max(limit, settings.drain_notice_);
}

} // namespace

shutdown_plan plan_shutdown(const call_settings& settings, steady_time started)
{
    shutdown_plan plan;
    plan.close_at_ = started + settings.drain_notice_;
    plan.withdraw_upstream_at_ =
        plan.close_at_ -
        std::min(settings.gate_drain_notice_, settings.drain_notice_);
    plan.terminate_at_ = started + longest_drain(settings);
    plan.refuse_at_ =
        std::max(plan.close_at_, plan.terminate_at_ - refusal_margin);
    return plan;
}

} // namespace hemlockshelf
