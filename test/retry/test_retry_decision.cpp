#include "hemlockshelf/retry/retry_decision.hpp"

#include <chrono>
#include <optional>
#include <set>

#include <rapidcheck.h>

#include "hemlockshelf/core/error_table.hpp"
#include "hemlockshelf/retry/retry_after_delay.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

constexpr steady_time now{1000s};

failed_attempt refused_attempt()
{
    failed_attempt attempt{error_kind::overloaded};
    attempt.not_run_ = true;
    attempt.deadline_ = now + 2s;
    return attempt;
}

retry_reason reason_of(const failed_attempt& attempt)
{
    random_source random(1);
    retry_budget budget;
    return decide_retry(attempt, budget, {}, now, random).reason_;
}

} // namespace

// Guards against a non-idempotent request that runs twice, for every kind of
// error.
Test(retry_decision, never_repeats_what_may_have_run)
{
    for (const auto& answer : error_table())
    {
        auto attempt = refused_attempt();
        attempt.kind_ = answer.kind_;
        attempt.not_run_ = false;
        cr_assert(
            reason_of(attempt) != retry_reason::retry ||
                answer.execution_ == execution::not_run,
            "%s", answer.name_.data());
    }
}

// Guards against retries that can't help or can't be sent, and against a
// reason on the explain page that isn't the true one.
Test(retry_decision, names_what_speaks_against_a_retry)
{
    cr_assert(reason_of(refused_attempt()) == retry_reason::retry);
    auto attempt = refused_attempt();
    attempt.kind_ = error_kind::quota_exceeded;
    cr_assert(reason_of(attempt) == retry_reason::kind_not_retried);
    attempt = refused_attempt();
    attempt.body_replayable_ = false;
    cr_assert(reason_of(attempt) == retry_reason::body_gone);
    attempt = refused_attempt();
    attempt.attempts_ = 3;
    cr_assert(reason_of(attempt) == retry_reason::attempts_used);
    attempt = refused_attempt();
    attempt.deadline_ = now + 1ms;
    cr_assert(reason_of(attempt) == retry_reason::deadline_too_near);
    attempt = {error_kind::outcome_unknown};
    attempt.deadline_ = now + 2s;
    cr_assert(reason_of(attempt) == retry_reason::may_have_run);
    attempt.idempotent_ = true;
    cr_assert(reason_of(attempt) == retry_reason::retry);
    attempt.answered_by_upstream_ = true;
    cr_assert(reason_of(attempt) == retry_reason::answered_by_upstream);
}

// Guards against a budget that pays for retries that are not made.
Test(retry_decision, spends_nothing_on_a_refusal)
{
    random_source random(1);
    retry_budget budget;
    auto attempt = refused_attempt();
    attempt.body_replayable_ = false;
    for (int time = 0; time < 10; ++time)
    {
        decide_retry(attempt, budget, {}, now, random);
    }
    cr_assert(decide_retry(refused_attempt(), budget, {}, now, random).retry());
}

// Guards against delays that outgrow their limit, and against callers that
// retry in step.
Test(retry_decision, backs_off_at_random_within_the_limit)
{
    cr_assert(rc::check(
        [](std::uint32_t attempts, std::uint64_t seed)
        {
            const retry_settings settings;
            random_source random(seed);
            const auto first = backoff_delay(attempts, settings, random);
            const auto second = backoff_delay(attempts, settings, random);
            RC_ASSERT(first >= 0ns);
            RC_ASSERT(first <= settings.backoff_max_);
            RC_ASSERT(first != second);
        }));
}

// Guards against a callee that still works when its caller has given up.
Test(retry_decision, passes_on_less_time_at_each_hop)
{
    cr_assert(rc::check(
        []
        {
            const auto left = *rc::gen::inRange(0, 10'000'000) * 1us;
            const auto passed_on = next_hop_timeout(left, {});
            RC_ASSERT(!passed_on || *passed_on <= left - 1ms);
            RC_ASSERT(passed_on.has_value() == (left > 1ms));
        }));
}

// Guards against gates that are not asked because the budget is used up: a
// gate's own refusal is no arrival at an upstream.
Test(retry_decision, asking_another_gate_needs_no_budget)
{
    random_source random(1);
    retry_budget budget;
    retry_settings settings;
    settings.floor_per_second_ = 0;
    auto attempt = refused_attempt();
    cr_assert(
        decide_retry(attempt, budget, settings, now, random).reason_ ==
        retry_reason::budget_empty);
    attempt.may_have_arrived_ = false;
    attempt.attempts_ = 0;
    const auto decision = decide_retry(attempt, budget, settings, now, random);
    cr_assert(decision.retry());
    cr_assert(decision.delay_ == 0ns);
    attempt.gates_asked_ = settings.max_gates_;
    cr_assert(
        decide_retry(attempt, budget, settings, now, random).reason_ ==
        retry_reason::gates_used);
}

// Guards against a request that is sent to more upstreams than its route
// allows.
Test(retry_decision, the_routes_attempts_go_before_the_settings)
{
    auto attempt = refused_attempt();
    attempt.attempts_ = 2;
    cr_assert(reason_of(attempt) == retry_reason::retry);
    attempt.max_attempts_ = 2;
    cr_assert(reason_of(attempt) == retry_reason::attempts_used);
}

// Guards against callers that were refused together and return together, and
// against a time to wait that no one would wait for.
Test(return_delay, spreads_around_the_gates_estimate)
{
    random_source random(1);
    std::set<std::int64_t> seen;
    for (int count = 0; count < 100; ++count)
    {
        const auto delay = retry_after_delay(200ms, random);
        cr_assert(delay >= 150ms && delay <= 250ms);
        seen.insert(delay.count());
    }
    cr_assert(seen.size() > 20);
    cr_assert(retry_after_delay(1h, random) <= 1250ms);
    cr_assert(retry_after_delay(std::nullopt, random) > 0ms);
}
