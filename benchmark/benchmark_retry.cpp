// Cost per call of the retry budget and the retry decision.

#include <chrono>

#include <benchmark/benchmark.h>

#include "hemlockshelf/retry/retry_budget_table.hpp"

namespace {

using namespace hemlockshelf;

const service_key service{client_account_id{"regie"}, service_name{"desk"}};

void earn(benchmark::State& state)
{
    retry_budget_table table({});
    auto now = std::chrono::steady_clock::now();
    for (auto _ : state)
    {
        now += std::chrono::microseconds(100);
        table.earn(service, now);
    }
}
BENCHMARK(earn);

void decide(benchmark::State& state)
{
    random_source random(1);
    retry_budget_table table({});
    auto now = std::chrono::steady_clock::now();
    failed_attempt attempt;
    attempt.kind_ = error_kind::overloaded;
    attempt.not_run_ = true;
    for (auto _ : state)
    {
        now += std::chrono::seconds(1);
        attempt.deadline_ = now + std::chrono::seconds(2);
        benchmark::DoNotOptimize(table.decide(service, attempt, now, random));
    }
}
BENCHMARK(decide);

} // namespace
