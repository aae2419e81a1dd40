#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_SETTINGS_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_SETTINGS_HPP

#include <chrono>
#include <cstdint>
#include <string>

#include "adapters/http/endpoint.hpp"

namespace hemlockshelf {

/// Answer of the stand-in's health endpoint.
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
    /// Admin address of the node on the same host as the upstream.
    endpoint node_;
    std::string service_;
    std::string client_account_;
    /// Maximum number of concurrent requests; further ones get a 503.
    std::uint32_t slots_ = 20;
    /// Maximum number of open connections; further ones are closed immediately.
    std::uint32_t connections_ = 110;
    /// Service time of each request, and the upper bound of the random time
    /// added to it.
    std::chrono::milliseconds service_time_{0};
    std::chrono::milliseconds service_jitter_{0};
    /// Period after the start during which requests take `cold_factor_` times
    /// as long.
    std::chrono::milliseconds cold_start_{0};
    double cold_factor_ = 5;
    /// Minimum time between the start of a drain and the end of the process, so
    /// that the announcement reaches the node.
    std::chrono::milliseconds drain_linger_{1500};
    /// Maximum time that a drain waits for running requests.
    std::chrono::milliseconds drain_limit_{30'000};
    health_mode health_ = health_mode::truthful;
    /// File that gets a line at the start of each execution; empty for none.
    std::string execution_log_;
    /// File that gets a line at the end of each execution; empty for none.
    std::string outcome_log_;
};

} // namespace hemlockshelf

#endif
