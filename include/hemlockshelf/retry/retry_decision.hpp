#ifndef HEMLOCKSHELF_RETRY_RETRY_DECISION_HPP
#define HEMLOCKSHELF_RETRY_RETRY_DECISION_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error_kind.hpp"
#include "hemlockshelf/core/random_source.hpp"
#include "hemlockshelf/retry/retry_budget.hpp"
#include "hemlockshelf/retry/retry_settings.hpp"

namespace hemlockshelf {

/// An attempt that has failed, as the entry saw it.
struct failed_attempt
{
    error_kind kind_ = error_kind::internal;
    /// Whether it is proven that the attempt was not run: the gate's answer
    /// says so, no byte of the request's body was released, or the upstream
    /// shed the request and its pool says `shed_is_not_run`.
    bool not_run_ = false;
    /// Whether the failure is a whole answer that the upstream gave, other
    /// than shedding with `not_run_`. Such an answer may stem from a failure
    /// further down, which the entry there has already retried.
    bool answered_by_upstream_ = false;
    /// Whether the attempt may have reached the upstream, which counts against
    /// the budget. A gate's own refusal does not.
    bool may_have_arrived_ = true;
    bool idempotent_ = false;
    /// Whether the request's body can still be sent from its start.
    bool body_replayable_ = true;
    /// Attempts made so far that may have reached an upstream, this one
    /// included.
    std::uint32_t attempts_ = 1;
    /// Most such attempts; 0 leaves it to the settings.
    std::uint32_t max_attempts_ = 0;
    /// Gates asked so far.
    std::uint32_t gates_asked_ = 1;
    steady_time deadline_{};
};

/// Why a retry is or is not made.
enum class retry_reason
{
    retry,
    kind_not_retried,
    may_have_run,
    answered_by_upstream,
    body_gone,
    attempts_used,
    gates_used,
    deadline_too_near,
    budget_empty,
};

struct retry_decision
{
    retry_reason reason_ = retry_reason::kind_not_retried;
    /// Wait before the next attempt; only with `retry_reason::retry`.
    std::chrono::nanoseconds delay_{0};

    [[nodiscard]] bool retry() const
    {
        return reason_ == retry_reason::retry;
    }
};

/// Returns the reason's name, for logs, metrics and the explain page.
std::string_view to_string(retry_reason value);

/// Decides whether to try again. Takes one retry out of `budget` only if the
/// answer is yes.
retry_decision decide_retry(
    const failed_attempt& attempt,
    retry_budget& budget,
    const retry_settings& settings,
    steady_time now,
    random_source& random);

/// Returns a random delay before attempt number `attempts + 1`: uniform from 0
/// to a limit that doubles with each attempt.
std::chrono::nanoseconds backoff_delay(
    std::uint32_t attempts,
    const retry_settings& settings,
    random_source& random);

/// Returns the time that the next hop gets out of `time_left`, or nothing if
/// too little is left to pass the request on.
std::optional<std::chrono::nanoseconds> next_hop_timeout(
    std::chrono::nanoseconds time_left, const retry_settings& settings);

} // namespace hemlockshelf

#endif
