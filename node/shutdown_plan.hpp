#ifndef HEMLOCKSHELF_NODE_SHUTDOWN_PLAN_HPP
#define HEMLOCKSHELF_NODE_SHUTDOWN_PLAN_HPP

#include "adapters/http/call_settings.hpp"
#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// Times of the steps of a graceful shutdown.
struct shutdown_plan
{
    /// The other nodes are notified to stop using this node's upstream.
    steady_time withdraw_upstream_at_{};
    /// The gate and the listeners stop accepting new work.
    steady_time close_at_{};
    /// Requests that have not been forwarded are refused.
    steady_time refuse_at_{};
    /// Calls still in progress are terminated.
    steady_time terminate_at_{};
};

/// Returns the steps of a node that starts to shut down at `started`.
shutdown_plan plan_shutdown(const call_settings& settings, steady_time started);

} // namespace hemlockshelf

#endif
