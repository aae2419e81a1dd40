#include "hemlockshelf/routing/ejection.hpp"

#include <chrono>
#include <cstddef>
#include <vector>

#include <rapidcheck.h>

#include "hemlockshelf/routing/upstream_load_table.hpp"
#include "test/routing/members.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

constexpr steady_time start{1000s};
const routing_settings settings;

void fail(std::vector<upstream_load>& pool, std::size_t index, steady_time now)
{
    for (std::uint32_t call = 0; call < settings.failures_to_eject_; ++call)
    {
        judge_outcome(pool, index, call_outcome::failed, settings, now);
    }
}

} // namespace

// Guards against a wrong signal that empties a pool: whatever the outcomes are
// and whoever leaves, two thirds stay in use.
Test(ejection, never_takes_more_than_a_third)
{
    cr_assert(rc::check(
        []
        {
            std::vector<upstream_load> pool(
                *rc::gen::inRange<std::size_t>(1, 13));
            auto now = start;
            const int steps = *rc::gen::inRange(0, 300);
            for (int step = 0; step < steps; ++step)
            {
                const auto index =
                    *rc::gen::inRange<std::size_t>(0, pool.size());
                const auto outcome = *rc::gen::weightedElement<call_outcome>(
                    {{8, call_outcome::failed},
                     {1, call_outcome::success},
                     {1, call_outcome::refused}});
                now += *rc::gen::inRange(0, 300) * 1ms;
                end_ejections(pool, now);
                judge_outcome(pool, index, outcome, settings, now);
                if (pool.size() > 1 && *rc::gen::inRange(0, 50) == 0)
                {
                    pool.pop_back();
                    enforce_ejection_limit(pool, settings);
                }
                RC_ASSERT(3 * count_ejected(pool) <= pool.size());
            }
        }));
}

// Guards against a failing upstream that keeps its share of the calls.
Test(ejection, takes_out_an_upstream_that_fails)
{
    std::vector<upstream_load> pool(4);
    fail(pool, 2, start);
    cr_assert(pool[2].ejection_ == ejection_state::ejected);
}

// Guards against the ejection of an upstream that is only full.
Test(ejection, does_not_count_refusals_as_failures)
{
    std::vector<upstream_load> pool(4);
    for (int call = 0; call < 100; ++call)
    {
        judge_outcome(pool, 0, call_outcome::refused, settings, start);
    }
    cr_assert_eq(count_ejected(pool), 0);
}

// Guards against an upstream that returns at full share while it still fails,
// and against ejections that never get longer.
Test(ejection, probes_and_grows)
{
    std::vector<upstream_load> pool(4);
    fail(pool, 0, start);
    const auto first = pool[0].ejected_until_ - start;
    end_ejections(pool, pool[0].ejected_until_);
    cr_assert(pool[0].ejection_ == ejection_state::probing);
    const auto later = pool[0].ejected_until_;
    judge_outcome(pool, 0, call_outcome::failed, settings, later);
    cr_assert(pool[0].ejected_until_ - later == 2 * first);
    end_ejections(pool, pool[0].ejected_until_);
    judge_outcome(pool, 0, call_outcome::success, settings, later);
    cr_assert(pool[0].ejection_ == ejection_state::probing);
    judge_outcome(pool, 0, call_outcome::success, settings, later);
    cr_assert(pool[0].ejection_ == ejection_state::in_use);
}

// Guards against a burst of calls to an upstream that is only being probed.
Test(ejection, probes_with_one_call_at_a_time)
{
    const service_key service{client_account_id{"x"}, service_name{"s"}};
    const auto members =
        std::make_shared<member_table::entry_list>(member_table::entry_list{
            make_member("bad", "a", "r"), make_member("b", "a", "r"),
            make_member("c", "a", "r")});
    random_source random(3);
    upstream_load_table table(
        settings, {failure_domain_id{"a"}, region_id{"r"}}, random);
    table.choose(service, members, {}, start, random);
    for (std::uint32_t call = 0; call < settings.failures_to_eject_; ++call)
    {
        table.finish(service, vm_id{"bad"}, {call_outcome::failed, {}}, start);
    }
    int probes = 0;
    for (int call = 0; call < 60; ++call)
    {
        const auto now = start + settings.ejection_time_ + 1ms;
        const auto choice = table.choose(service, members, {}, now, random);
        probes += choice.member_->vm_ == vm_id{"bad"} ? 1 : 0;
    }
    cr_assert_eq(probes, 1, "%d calls probe at the same time", probes);
}
