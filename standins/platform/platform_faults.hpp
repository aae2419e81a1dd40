#ifndef HEMLOCKSHELF_STANDINS_PLATFORM_PLATFORM_FAULTS_HPP
#define HEMLOCKSHELF_STANDINS_PLATFORM_PLATFORM_FAULTS_HPP

#include <chrono>
#include <mutex>
#include <random>

#include <nlohmann/json.hpp>

#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Faults of the platform. A fault affects each request with its probability.
enum class fault_mode
{
    ok,
    /// Answers 503 without executing the request.
    down,
    /// Delays the execution of the request.
    slow,
    /// Executes a write, then closes the connection without an answer. Reads
    /// are answered.
    lose_answers,
    /// Executes nothing and keeps the connection open for the delay.
    silent,
};

struct fault_plan
{
    fault_mode mode_ = fault_mode::ok;
    double probability_ = 1;
    std::chrono::milliseconds delay_{0};
};

/// Reads `{"mode","probability","delay_ms"}`. The error is `bad_request`.
result<fault_plan> fault_plan_from_json(const nlohmann::json& json);

/// Holds the active fault and decides at random whether it affects a request.
/// Thread-safe.
class platform_faults
{
public:
    void set(fault_plan plan);

    /// Returns the fault that affects the next request; `ok` if none does.
    fault_plan draw();

private:
    std::mutex mutex_;
    fault_plan plan_;
    /// Seeded with a constant, so that runs are reproducible.
    std::mt19937 random_{20261204};
};

} // namespace hemlockshelf

#endif
