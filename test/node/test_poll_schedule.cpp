#include "node/poll_schedule.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds interval{500};

/// Returns the times of the polls of `nodes` nodes that start together and are
/// joining until `end`.
std::vector<milliseconds> poll_times(std::size_t nodes, milliseconds end)
{
    random_source random(1);
    std::vector<milliseconds> times;
    for (std::size_t node = 0; node < nodes; ++node)
    {
        milliseconds at{0};
        for (std::uint32_t polls = 1; at < end; ++polls)
        {
            times.push_back(at);
            at +=
                next_poll_delay(poll_mode::head_only, interval, polls, random);
        }
    }
    std::ranges::sort(times);
    return times;
}

/// Returns the largest number of polls within any second.
std::size_t max_per_second(const std::vector<milliseconds>& times)
{
    std::size_t most = 0;
    auto first = times.begin();
    for (auto last = times.begin(); last != times.end(); ++last)
    {
        while (*last - *first >= std::chrono::seconds{1})
        {
            ++first;
        }
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

} // namespace

// Guards against a failure domain of the target size that exceeds the read
// limit of the platform while its nodes rejoin (2,000 reads per second, of
// which the readers of the whole fleet use 84).
Test(poll_schedule, a_joining_failure_domain_stays_within_the_read_limit)
{
    constexpr std::size_t nodes = 1143;
    constexpr std::size_t reads_left = 2000 - 84;
    const auto times = poll_times(nodes, std::chrono::seconds{20});
    cr_assert_leq(max_per_second(times), reads_left);
}

// Guards against a node without peers that polls the platform too rarely while
// it waits for the end of an outage.
Test(poll_schedule, a_joining_node_keeps_asking)
{
    random_source random(1);
    for (std::uint32_t polls = 1; polls < 100; ++polls)
    {
        const auto delay =
            next_poll_delay(poll_mode::head_only, interval, polls, random);
        cr_assert(delay <= milliseconds{2500});
    }
}

// Guards against readers that poll more slowly, because the convergence time
// depends on their polls.
Test(poll_schedule, a_reader_polls_at_the_interval)
{
    random_source random(1);
    for (std::uint32_t polls = 1; polls < 10; ++polls)
    {
        cr_assert(
            next_poll_delay(poll_mode::follow, interval, polls, random) ==
            interval);
    }
}
