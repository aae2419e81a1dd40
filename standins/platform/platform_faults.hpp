#ifndef HEMLOCKSHELF_STANDINS_PLATFORM_PLATFORM_FAULTS_HPP
#define HEMLOCKSHELF_STANDINS_PLATFORM_PLATFORM_FAULTS_HPP

#include <chrono>
#include <mutex>
#include <random>

#include <nlohmann/json.hpp>

#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Faults of the platform. A fault meets a request with its probability.
enum class fault_mode
{
    ok,
    /// The answer is 503 and nothing was done.
    down,
    /// The request waits for the delay before it is executed.
    slow,
    /// A write takes effect, then the connection is closed without an answer.
    /// Reads are answered.
    lose_answers,
    /// Nothing is done and the connection stays open for the delay.
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

/// Holds the fault in force and draws whether it meets a request. Thread-safe.
class platform_faults
{
public:
    void set(fault_plan plan);

    /// Returns the fault that meets the next request; `ok` if none does.
    fault_plan draw();

private:
    std::mutex mutex_;
    fault_plan plan_;
    /// Seeded with a constant, so that runs can be repeated.
    std::mt19937 random_{20261204};
};

} // namespace hemlockshelf

#endif
