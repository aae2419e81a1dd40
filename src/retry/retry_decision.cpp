#include "hemlockshelf/retry/retry_decision.hpp"

#include <algorithm>

#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

namespace {

// Beyond this the doubling has passed any sensible maximum.
constexpr std::uint32_t max_doublings = 16;

// Kinds that another upstream, or the same one a moment later, can answer
// differently.
bool can_pass(error_kind kind)
{
    switch (kind)
    {
    case error_kind::no_upstream:
    case error_kind::overloaded:
    case error_kind::draining:
    case error_kind::not_ready:
    case error_kind::gate_unreachable:
    case error_kind::unreachable:
    case error_kind::busy:
    case error_kind::upstream_failed:
    case error_kind::outcome_unknown:
        return true;
    default:
        return false;
    }
}

bool proven_not_run(const failed_attempt& attempt)
{
    return attempt.not_run_ ||
           error_properties_of(attempt.kind_).execution_ == execution::not_run;
}

retry_reason
check_request(const failed_attempt& attempt, const retry_settings& settings)
{
    if (!can_pass(attempt.kind_))
    {
        return retry_reason::kind_not_retried;
    }
    if (attempt.answered_by_upstream_ && !attempt.not_run_ &&
        !settings.retry_server_errors_)
    {
        return retry_reason::answered_by_upstream;
    }
    if (!attempt.idempotent_ && !proven_not_run(attempt))
    {
        return retry_reason::may_have_run;
    }
    return attempt.body_replayable_ ? retry_reason::retry
                                    : retry_reason::body_gone;
}

// Asking another gate costs no arrival at an upstream, so that it needs neither
// budget nor delay.
retry_decision ask_next_gate(
    const failed_attempt& attempt,
    const retry_settings& settings,
    steady_time now)
{
    if (attempt.gates_asked_ >= settings.max_gates_)
    {
        return {retry_reason::gates_used};
    }
    if (now + settings.min_time_left_ > attempt.deadline_)
    {
        return {retry_reason::deadline_too_near};
    }
    return {retry_reason::retry};
}

} // namespace

std::string_view to_string(retry_reason value)
{
    switch (value)
    {
    case retry_reason::retry:
        return "retry";
    case retry_reason::kind_not_retried:
        return "kind_not_retried";
    case retry_reason::may_have_run:
        return "may_have_run";
    case retry_reason::answered_by_upstream:
        return "answered_by_upstream";
    case retry_reason::body_gone:
        return "body_gone";
    case retry_reason::attempts_used:
        return "attempts_used";
    case retry_reason::gates_used:
        return "gates_used";
    case retry_reason::deadline_too_near:
        return "deadline_too_near";
    case retry_reason::budget_empty:
        return "budget_empty";
    }
    return "unknown";
}

retry_decision decide_retry(
    const failed_attempt& attempt,
    retry_budget& budget,
    const retry_settings& settings,
    steady_time now,
    random_source& random)
{
    const auto reason = check_request(attempt, settings);
    if (reason != retry_reason::retry)
    {
        return {reason};
    }
    const auto max_attempts = attempt.max_attempts_ > 0
                                  ? attempt.max_attempts_
                                  : settings.max_attempts_;
    if (attempt.attempts_ >= max_attempts)
    {
        return {retry_reason::attempts_used};
    }
    if (!attempt.may_have_arrived_)
    {
        return ask_next_gate(attempt, settings, now);
    }
    const auto delay = backoff_delay(attempt.attempts_, settings, random);
    if (now + delay + settings.min_time_left_ > attempt.deadline_)
    {
        return {retry_reason::deadline_too_near};
    }
    if (!spend_retry(budget, settings, now))
    {
        return {retry_reason::budget_empty};
    }
    return {retry_reason::retry, delay};
}

std::chrono::nanoseconds backoff_delay(
    std::uint32_t attempts,
    const retry_settings& settings,
    random_source& random)
{
    const auto doublings =
        std::min(attempts > 0 ? attempts - 1 : 0, max_doublings);
    const auto limit = std::min(
        settings.backoff_base_ * (1U << doublings), settings.backoff_max_);
    const std::chrono::duration<double, std::micro> delay =
        limit * random_fraction(random);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(delay);
}

std::optional<std::chrono::nanoseconds> next_hop_timeout(
    std::chrono::nanoseconds time_left, const retry_settings& settings)
{
    const auto share = std::chrono::duration_cast<std::chrono::nanoseconds>(
        time_left * settings.deadline_share_kept_);
    const std::chrono::nanoseconds least = settings.deadline_kept_;
    const auto passed_on = time_left - std::max(share, least);
    if (passed_on <= std::chrono::nanoseconds::zero())
    {
        return std::nullopt;
    }
    return passed_on;
}

} // namespace hemlockshelf
