#include "node/shutdown_plan.hpp"

#include <algorithm>
#include <chrono>

namespace hemlockshelf {

namespace {

// Time for the refusals to be sent before connections are closed, on a machine
// that is short of CPU time.
constexpr std::chrono::milliseconds refusal_margin{400};

} // namespace

shutdown_plan plan_shutdown(const call_settings& settings, steady_time started)
{
    shutdown_plan plan;
    plan.close_at_ = started + settings.drain_notice_;
    plan.withdraw_upstream_at_ =
        plan.close_at_ -
        std::min(settings.gate_drain_notice_, settings.drain_notice_);
    plan.terminate_at_ =
        started + std::max(settings.drain_limit_, settings.drain_notice_);
    plan.refuse_at_ =
        std::max(plan.close_at_, plan.terminate_at_ - refusal_margin);
    return plan;
}

} // namespace hemlockshelf
