#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "test/gate/gate_simulation.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

constexpr auto standard = traffic_class::standard;
constexpr auto length = 30s;

// Calls per second: the gates have as many slots as their calls take
// milliseconds.
constexpr double capacity = 1000;

double per_second(std::size_t calls)
{
    return double(calls) / std::chrono::seconds(length).count();
}

double share_done(const source_result& result)
{
    return double(result.done_in_time_) / double(result.offered_);
}

// All simulated gates have the same capacity; late calls are wasted work.
void check_goodput(const std::vector<source_result>& results)
{
    std::size_t done = 0;
    std::size_t late = 0;
    for (const auto& result : results)
    {
        done += result.done_in_time_;
        late += result.done_late_;
    }
    cr_assert_gt(
        per_second(done), 0.9 * capacity, "%f per second", per_second(done));
    cr_assert_lt(double(late), 0.01 * double(done), "%zu calls late", late);
}

} // namespace

// Guards against the collapse of goodput under overload, and against lookups
// that wait behind other calls. With six slots, a reserve of a whole slot would
// cost more than a tenth of the goodput.
Test(overload, keeps_goodput_and_lookups_at_twice_the_capacity)
{
    for (const std::uint32_t slots : {6, 20})
    {
        const auto service_time = slots * 1ms;
        gate_simulation simulation(slots, service_time);
        const auto results = simulation.run(
            {{"a", "e1", traffic_class::lookup, 50},
             {"a", "e1", standard, 850},
             {"b", "e2", standard, 850},
             {"b", "e2", traffic_class::bulk, 250}},
            length);
        check_goodput(results);
        cr_assert_gt(share_done(results[0]), 0.995);
        cr_assert_leq(results[0].longest_start_, 20ms);
        cr_assert_gt(results[3].done_in_time_, 0, "bulk is starved");
    }
}

// Guards against a reserve that costs too much goodput without lookups.
Test(overload, keeps_goodput_without_lookups)
{
    for (const std::uint32_t slots : {1, 2, 6, 12, 20, 50})
    {
        const auto service_time = slots * 1ms;
        gate_simulation simulation(slots, service_time);
        check_goodput(simulation.run(
            {{"a", "e1", standard, 2000, 10 * service_time}}, length));
    }
}

// Guards against admitted calls that all end too late, because their deadlines
// are shorter than the time that a full queue takes.
Test(overload, keeps_goodput_with_short_deadlines)
{
    gate_simulation simulation(20, 20ms);
    const auto results =
        simulation.run({{"a", "e1", standard, 2000, 100ms}}, length);
    cr_assert_gt(
        per_second(results[0].done_in_time_), 0.9 * 0.9 * capacity,
        "%f per second", per_second(results[0].done_in_time_));
}

// Guards against an account that displaces another one by offering more calls.
Test(overload, shares_fairly_between_accounts)
{
    gate_simulation simulation(20, 20ms);
    const auto results = simulation.run(
        {{"heavy", "e1", standard, 1900}, {"light", "e1", standard, 300}},
        length);
    cr_assert_gt(
        share_done(results[1]), 0.97, "light account: %f",
        share_done(results[1]));
}

// Guards against an entry that displaces another one by offering more calls.
Test(overload, shares_fairly_between_entries)
{
    gate_simulation simulation(20, 20ms);
    const auto results = simulation.run(
        {{"a", "heavy", standard, 1900}, {"a", "light", standard, 300}},
        length);
    cr_assert_gt(
        share_done(results[1]), 0.97, "light entry: %f",
        share_done(results[1]));
}

// Guards against lookups that starve all other calls.
Test(overload, lookups_do_not_starve_the_rest)
{
    gate_simulation simulation(20, 20ms);
    const auto results = simulation.run(
        {{"a", "e1", traffic_class::lookup, 2000}, {"b", "e2", standard, 300}},
        length);
    cr_assert_gt(share_done(results[1]), 0.9, "%f", share_done(results[1]));
}

// Guards against refused calls although there is free capacity.
Test(overload, refuses_nothing_at_half_the_capacity)
{
    gate_simulation simulation(20, 20ms);
    const auto results = simulation.run({{"a", "e1", standard, 500}}, length);
    cr_assert_eq(results[0].refused_, 0);
}
