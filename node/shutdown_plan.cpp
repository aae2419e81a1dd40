#include "node/shutdown_plan.hpp"

#include <algorithm>

namespace hemlockshelf {

shutdown_plan plan_shutdown(const call_settings& settings, steady_time started)
{
    shutdown_plan plan;
    plan.close_at_ = started + settings.drain_notice_;
    plan.withdraw_upstream_at_ =
        plan.close_at_ -
        std::min(settings.gate_drain_notice_, settings.drain_notice_);
    plan.cut_at_ =
        started + std::max(settings.drain_limit_, settings.drain_notice_);
    return plan;
}

} // namespace hemlockshelf
