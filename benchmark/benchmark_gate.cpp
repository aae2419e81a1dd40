// Cost per call of the gate's admission.

#include <chrono>
#include <deque>
#include <string>

#include <benchmark/benchmark.h>

#include "hemlockshelf/gate/admission.hpp"
#include "hemlockshelf/gate/connection_counts.hpp"
#include "hemlockshelf/gate/idempotency_records.hpp"

namespace {

using namespace hemlockshelf;
using std::chrono::milliseconds;

constexpr milliseconds deadline{500};

gate_state make_gate(std::uint32_t slots, steady_time now)
{
    gate_state gate{gate_settings{}};
    set_capacity(gate, slot_count{slots}, connection_count{slots * 5}, now);
    return gate;
}

gate_call make_call(std::int64_t entry, steady_time now)
{
    return {
        client_account_id{"regie"}, vm_id{"vm-" + std::to_string(entry)},
        traffic_class::standard, now + deadline};
}

// A free slot: offer and release. The argument is the number of entry nodes.
void admit_and_release(benchmark::State& state)
{
    auto now = std::chrono::steady_clock::now();
    auto gate = make_gate(20, now);
    std::int64_t turn = 0;
    for (auto _ : state)
    {
        now += std::chrono::microseconds(100);
        const auto call = make_call(++turn % state.range(0), now);
        const auto result = offer_call(gate, call, now);
        benchmark::DoNotOptimize(release_call(gate, result.id_, now));
    }
}
BENCHMARK(admit_and_release)->Arg(4)->Arg(100);

// Every slot in use and the queue full: each round offers a call, which is
// queued or refused, and releases the oldest one, which starts a waiting one.
void overloaded_round(benchmark::State& state)
{
    auto now = std::chrono::steady_clock::now();
    auto gate = make_gate(20, now);
    std::deque<gate_call_id> running;
    std::int64_t turn = 0;
    const auto offer = [&]
    {
        const auto call = make_call(++turn % state.range(0), now);
        const auto result = offer_call(gate, call, now);
        if (result.admission_ == admission::admitted)
        {
            running.push_back(result.id_);
        }
    };
    for (int call = 0; call < 100; ++call)
    {
        offer();
    }
    for (auto _ : state)
    {
        now += milliseconds(1);
        offer();
        const auto events = release_call(gate, running.front(), now);
        running.pop_front();
        running.insert(
            running.end(), events->started_.begin(), events->started_.end());
    }
    state.counters["waiting"] = static_cast<double>(gate.queue_.size());
}
BENCHMARK(overloaded_round)->Arg(4)->Arg(100);

// A refusal while the queue is full and no slot becomes free.
void refuse_when_full(benchmark::State& state)
{
    const auto now = std::chrono::steady_clock::now();
    auto gate = make_gate(20, now);
    std::int64_t turn = 0;
    for (int call = 0; call < 1000; ++call)
    {
        offer_call(gate, make_call(++turn % state.range(0), now), now);
    }
    for (auto _ : state)
    {
        const auto call = make_call(++turn % state.range(0), now);
        benchmark::DoNotOptimize(offer_call(gate, call, now));
    }
}
BENCHMARK(refuse_when_full)->Arg(4)->Arg(100);

void take_and_return_connection(benchmark::State& state)
{
    const auto now = std::chrono::steady_clock::now();
    const gate_settings settings;
    connection_counts ledger;
    ledger.limit_ = connection_count{100};
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(
            acquire_connection(ledger, settings.new_connections_, now));
        benchmark::DoNotOptimize(release_connection(ledger, true));
    }
}
BENCHMARK(take_and_return_connection);

// New keys at 50 per second, so that records expire at the rate at which
// they come.
void begin_and_finish_key(benchmark::State& state)
{
    idempotency_records records{gate_settings{}};
    const client_account_id account{"regie"};
    auto now = std::chrono::steady_clock::now();
    std::int64_t turn = 0;
    for (auto _ : state)
    {
        now += milliseconds(20);
        const auto id =
            make_idempotency_id(account, "key-" + std::to_string(++turn));
        benchmark::DoNotOptimize(records.begin(account, id, now));
        records.finish(id, now);
    }
}
BENCHMARK(begin_and_finish_key);

} // namespace
