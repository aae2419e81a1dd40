#include "standins/upstream/upstream_state.hpp"

#include <algorithm>

namespace hemlockshelf {

bool try_acquire_slot(upstream_state& state)
{
    if (state.running_ >= state.settings_.slots_)
    {
        ++state.counters_.shed_;
        return false;
    }
    ++state.running_;
    state.counters_.most_running_ =
        std::max(state.counters_.most_running_, state.running_);
    return true;
}

void release_slot(upstream_state& state)
{
    --state.running_;
}

bool try_acquire_connection_slot(upstream_state& state)
{
    if (state.connections_ >= state.settings_.connections_)
    {
        ++state.counters_.connections_refused_;
        return false;
    }
    ++state.connections_;
    state.counters_.most_connections_ =
        std::max(state.counters_.most_connections_, state.connections_);
    return true;
}

std::chrono::nanoseconds
draw_service_time(upstream_state& state, steady_time now)
{
    const auto& settings = state.settings_;
    const std::chrono::duration<double, std::nano> jitter =
        settings.service_jitter_ * random_fraction(state.random_);
    const bool cold = now - state.started_at_ < settings.cold_start_;
    const auto time = (settings.service_time_ + jitter) *
                      (cold ? settings.cold_factor_ : 1.0);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time);
}

} // namespace hemlockshelf
