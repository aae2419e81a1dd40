#ifndef HEMLOCKSHELF_NODE_SHUTDOWN_PLAN_HPP
#define HEMLOCKSHELF_NODE_SHUTDOWN_PLAN_HPP

#include "adapters/http/call_settings.hpp"
#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// When a node that leaves takes its steps.
struct shutdown_plan
{
    /// The other nodes hear that they are to use other upstreams.
    steady_time withdraw_upstream_at_{};
    /// The gate and the listeners take nothing new.
    steady_time close_at_{};
    /// Requests that have not been passed on are refused.
    steady_time refuse_at_{};
    /// Calls still in progress are cut.
    steady_time terminate_at_{};
};

/// Returns the steps of a node that begins to leave at `started`.
shutdown_plan plan_shutdown(const call_settings& settings, steady_time started);

} // namespace hemlockshelf

#endif
