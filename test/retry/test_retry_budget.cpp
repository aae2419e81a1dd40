#include "hemlockshelf/retry/retry_budget.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include <rapidcheck.h>

#include "hemlockshelf/retry/retry_decision.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

constexpr steady_time start{1000s};
constexpr std::size_t depth = 11;
constexpr int root_requests = 5000;

/// A chain of services, each of which calls the next. The last one fails every
/// call.
struct call_chain
{
    retry_settings settings_;
    std::array<retry_budget, depth> budgets_{};
    std::array<std::uint64_t, depth> attempts_{};
    random_source random_{5};
    /// Whether each hop treats a failure of the next hop as proof that the
    /// request was not run.
    bool proves_not_run_ = false;

    void call(std::size_t level, steady_time now)
    {
        earn_retry(budgets_.at(level), settings_, now);
        for (std::uint32_t attempt = 1;; ++attempt)
        {
            ++attempts_.at(level);
            const bool last = level + 1 == depth;
            if (!last)
            {
                call(level + 1, now);
            }
            failed_attempt failure{error_kind::upstream_failed};
            failure.not_run_ = last || proves_not_run_;
            failure.answered_by_upstream_ = !last;
            failure.idempotent_ = true;
            failure.attempts_ = attempt;
            failure.deadline_ = now + 2s;
            if (!decide_retry(
                     failure, budgets_.at(level), settings_, now, random_)
                     .retry())
            {
                return;
            }
        }
    }

    // Returns the attempts at the end of the chain per request at its start.
    double run()
    {
        for (int request = 0; request < root_requests; ++request)
        {
            call(0, start + request * 10ms);
        }
        return double(attempts_.back()) / root_requests;
    }
};

} // namespace

// Guards against more retries than one per ten requests plus the floor, in any
// sequence of requests and retries.
Test(retry_budget, is_never_exceeded)
{
    cr_assert(rc::check(
        []
        {
            const retry_settings settings;
            retry_budget budget;
            auto now = start;
            int requests = 0;
            int retries = 0;
            const int steps = *rc::gen::inRange(0, 1000);
            for (int step = 0; step < steps; ++step)
            {
                now += *rc::gen::inRange(0, 20) * 1ms;
                if (*rc::gen::inRange(0, 3) == 0)
                {
                    retries += spend_retry(budget, settings, now) ? 1 : 0;
                    continue;
                }
                earn_retry(budget, settings, now);
                ++requests;
            }
            const std::chrono::duration<double> passed = now - start;
            RC_ASSERT(
                retries <=
                settings.floor_burst_ + settings.budget_ratio_ * requests +
                    settings.floor_per_second_ * passed.count() + 1e-6);
        }));
}

// Guards against services with few requests that can never retry.
Test(retry_budget, has_a_floor)
{
    const retry_settings settings;
    retry_budget budget;
    cr_assert(spend_retry(budget, settings, start));
    cr_assert(spend_retry(budget, settings, start));
    cr_assert(spend_retry(budget, settings, start));
    cr_assert_not(spend_retry(budget, settings, start));
    cr_assert(spend_retry(budget, settings, start + 1s));
}

// Guards against retries that multiply along a call chain: each hop must only
// retry what failed at that hop. Three attempts at each of 11 hops would be
// 177,147 calls.
Test(retry_budget, failures_deep_down_are_retried_at_one_hop)
{
    call_chain chain;
    const auto factor = chain.run();
    cr_assert_lt(factor, 1.15, "%f attempts per request", factor);
}

// Guards against multiplied retries if each hop proves that the request was not
// run, so that every hop may retry. The budget alone limits the factor to
// 1.1^11 = 2.85 plus the floors.
Test(retry_budget, bounds_the_attempts_where_every_hop_retries)
{
    call_chain chain;
    chain.proves_not_run_ = true;
    const auto factor = chain.run();
    cr_assert_lt(factor, 3.1, "%f attempts per request", factor);
}
