#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_SETTINGS_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_SETTINGS_HPP

#include <chrono>
#include <cstdint>
#include <string>

#include "adapters/http/endpoint.hpp"

namespace hemlockshelf {

/// What the health endpoint of the stand-in says.
enum class health_mode
{
    truthful,
    always_ok,
    always_failing,
};

/// Behaviour of an upstream stand-in, from its flags.
struct upstream_settings
{
    endpoint listen_;
    /// Admin address of the node beside the upstream.
    endpoint node_;
    std::string service_;
    std::string client_account_;
    /// Requests that run at once; further ones get a 503.
    std::uint32_t slots_ = 20;
    /// Connections that are open at once; further ones are closed at once.
    std::uint32_t connections_ = 110;
    /// Time that each request takes, and the most that is added at random.
    std::chrono::milliseconds service_time_{0};
    std::chrono::milliseconds service_jitter_{0};
    /// Time after the start in which requests take `cold_factor_` times as
    /// long.
    std::chrono::milliseconds cold_start_{0};
    double cold_factor_ = 5;
    /// Least time between the start of a drain and the end of the process, so
    /// that the announcement gets through.
    std::chrono::milliseconds drain_linger_{1500};
    /// Longest time that a drain waits for running requests.
    std::chrono::milliseconds drain_limit_{30'000};
    health_mode health_ = health_mode::truthful;
    /// File that gets a line at the start of each execution; empty for none.
    std::string execution_log_;
    /// File that gets a line at the end of each execution; empty for none.
    std::string outcome_log_;
};

} // namespace hemlockshelf

#endif
