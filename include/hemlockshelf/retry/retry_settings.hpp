#ifndef HEMLOCKSHELF_RETRY_RETRY_SETTINGS_HPP
#define HEMLOCKSHELF_RETRY_RETRY_SETTINGS_HPP

#include <chrono>
#include <cstdint>

namespace hemlockshelf {

/// Settings of the retries of an entry.
struct retry_settings
{
    /// Retries that each request earns for its service.
    double budget_ratio_ = 0.1;
    /// Most retries that requests can accumulate. It bounds the burst of
    /// retries after a long idle period.
    double budget_burst_ = 20;
    /// Guaranteed retries per second, for services with few requests.
    double floor_per_second_ = 1;
    /// Most retries that can accumulate from `floor_per_second_`.
    double floor_burst_ = 3;
    /// Attempts per request, including the first one.
    std::uint32_t max_attempts_ = 3;
    /// Most gates that are asked for one request. A refusal by a gate puts no
    /// load on its upstream.
    std::uint32_t max_gates_ = 6;
    /// Whether an idempotent request is retried after the upstream has
    /// responded with a server error.
    bool retry_server_errors_ = false;
    /// Upper limit of the delay before the first retry; doubles with each
    /// further one.
    std::chrono::microseconds backoff_base_{4000};
    std::chrono::microseconds backoff_max_{200'000};
    /// Minimum time that must be left after the delay for a retry to be made.
    std::chrono::microseconds min_time_left_{3000};
    /// Fraction of the remaining time that each hop subtracts for its own
    /// response, so that a callee times out before its caller does.
    double deadline_share_kept_ = 0.02;
    /// Minimum time that each hop subtracts.
    std::chrono::microseconds deadline_kept_{1000};
};

} // namespace hemlockshelf

#endif
