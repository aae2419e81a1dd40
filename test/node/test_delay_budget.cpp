#include <chrono>
#include <cstddef>
#include <vector>

#include "hemlockshelf/dissemination/dissemination_settings.hpp"
#include "hemlockshelf/membership/membership_settings.hpp"
#include "node/poll_policy.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

// Adds up the limits of the stages that a published version passes until it is
// in force on the last node, for every way to lose a few steps. The table in
// docs/design.md shows the same sums.

namespace {

using std::chrono::milliseconds;

/// Time in which a version must be in force on every node, from the users.
constexpr milliseconds in_force_bound = 3s;

/// Round trip between two regions and its handling by a loaded node.
constexpr milliseconds region_round_trip = 80ms;
/// The same within a region.
constexpr milliseconds local_round_trip = 40ms;
/// Reading and checking a document of 260 kB, and applying its delta, with a
/// tenth of a core.
constexpr milliseconds preparation = 150ms;
constexpr milliseconds application = 150ms;
/// Levels of a tree with four children over 75 nodes.
constexpr int tree_levels = 3;
/// Timeout of a call of the platform, as deploy/node.yaml sets it.
constexpr milliseconds platform_timeout = 1200ms;

/// Lost steps of a push, by stage: an unanswered call or message, or a node
/// that does not act.
struct lost_steps
{
    std::size_t readers_ = 0;
    int region_members_ = 0;
    int domain_members_ = 0;
    int children_ = 0;

    [[nodiscard]] int count() const
    {
        return static_cast<int>(readers_) + region_members_ + domain_members_ +
               children_;
    }
};

/// Returns every way to lose up to `limit` steps.
std::vector<lost_steps> ways_to_lose(int limit)
{
    std::vector<lost_steps> ways;
    for (std::size_t readers = 0; readers < 4; ++readers)
    {
        for (int region = 0; region <= limit; ++region)
        {
            for (int domain = 0; domain <= limit; ++domain)
            {
                for (int children = 0; children <= limit; ++children)
                {
                    const lost_steps way{readers, region, domain, children};
                    if (way.count() <= limit)
                    {
                        ways.push_back(way);
                    }
                }
            }
        }
    }
    return ways;
}

milliseconds
delivery_time(const dissemination_settings& settings, const lost_steps& lost)
{
    return 2 * region_round_trip +
           settings.push_hedge_delay_ * lost.region_members_ +
           2 * local_round_trip +
           settings.push_hedge_delay_ * lost.domain_members_ +
           tree_levels * local_round_trip +
           settings.domain_push_deadline_ * lost.children_ + application;
}

milliseconds
push_time(const dissemination_settings& settings, const lost_steps& lost)
{
    return local_round_trip + preparation + push_delay(lost.readers_) +
           delivery_time(settings, lost);
}

/// Returns the time until a failure domain that no push reaches has found the
/// version by itself.
milliseconds watch_time(
    const dissemination_settings& settings,
    const membership_settings& membership,
    int silent_readers)
{
    return local_round_trip + preparation + membership.heartbeat_interval_ +
           settings.reader_hedge_delay_ * silent_readers + region_round_trip +
           settings.repair_grace_ + region_round_trip +
           tree_levels * local_round_trip + application;
}

} // namespace

// Guards against deadlines that together exceed the time that a version has:
// each of them is short, but they used to follow each other.
Test(delay_budget, a_push_that_loses_five_steps_is_in_time)
{
    const dissemination_settings settings;
    for (const auto& way : ways_to_lose(5))
    {
        const auto time = push_time(settings, way);
        cr_assert(
            time < in_force_bound,
            "%lld ms with %zu readers, %d members of a region, %d of a domain "
            "and %d children lost",
            static_cast<long long>(time.count()), way.readers_,
            way.region_members_, way.domain_members_, way.children_);
    }
}

// Guards against a lost push that the watch of its failure domain does not make
// good in time.
Test(delay_budget, a_lost_push_with_three_silent_readers_is_made_good_in_time)
{
    const dissemination_settings settings;
    const membership_settings membership;
    const auto time = watch_time(settings, membership, 3);
    cr_assert(
        time < in_force_bound, "%lld ms", static_cast<long long>(time.count()));
}

// Guards against a version that is late because every reader lost the same call
// of the platform.
Test(delay_budget, readers_that_all_lose_one_call_are_in_time)
{
    const dissemination_settings settings;
    const auto time =
        published_wait + platform_timeout + push_time(settings, {});
    cr_assert(
        time < in_force_bound, "%lld ms", static_cast<long long>(time.count()));
}
