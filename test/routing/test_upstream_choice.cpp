#include "hemlockshelf/routing/upstream_choice.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include "hemlockshelf/routing/upstream_load_table.hpp"
#include "test/routing/members.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

constexpr steady_time start{1000s};
const entry_location here{failure_domain_id{"a"}, region_id{"r"}};
const service_key service{client_account_id{"x"}, service_name{"s"}};

member_list share(member_table::entry_list list)
{
    return std::make_shared<member_table::entry_list>(std::move(list));
}

member_entry random_member(int number)
{
    auto member = make_member(
        "vm" + std::to_string(number), *rc::gen::element<std::string>("a", "b"),
        *rc::gen::element<std::string>("r", "q"));
    member.record_.state_ = *rc::gen::element(
        upstream_state::ready, upstream_state::warming,
        upstream_state::draining, upstream_state::left);
    member.liveness_ = *rc::gen::element(
        liveness::alive, liveness::suspect, liveness::unreachable,
        liveness::down);
    return member;
}

member_table::entry_list random_members()
{
    member_table::entry_list list;
    const int count = *rc::gen::inRange(0, 8);
    for (int number = 0; number < count; ++number)
    {
        list.push_back(random_member(number));
    }
    return list;
}

bool may_be_chosen(const member_entry& member, const std::vector<vm_id>& tried)
{
    const auto state = member.record_.state_;
    return member.liveness_ != liveness::down &&
           (state == upstream_state::ready ||
            state == upstream_state::warming) &&
           std::ranges::find(tried, member.record_.vm_) == tried.end();
}

// Returns how many choices out of `count` fall on each member.
std::map<std::string, int> count_choices(
    upstream_load_table& table,
    const member_list& members,
    steady_time now,
    int count)
{
    random_source random(7);
    std::map<std::string, int> counts;
    for (int call = 0; call < count; ++call)
    {
        const auto choice = table.choose(service, members, {}, now, random);
        ++counts[choice.member_->vm_.value()];
        table.finish(service, choice.member_->vm_, {}, now);
    }
    return counts;
}

} // namespace

// Guards against calls to members that drain, have left, are down or have
// been tried, against doubtful ones before better ones, and against a refusal
// while any member is left.
Test(upstream_choice, takes_the_best_liveness_that_is_left)
{
    cr_assert(rc::check(
        [](std::uint64_t seed)
        {
            const auto list = random_members();
            std::vector<vm_id> tried;
            for (const auto& member : list)
            {
                if (*rc::gen::inRange(0, 4) == 0)
                {
                    tried.push_back(member.record_.vm_);
                }
            }
            auto best = liveness::down;
            for (const auto& member : list)
            {
                best = may_be_chosen(member, tried)
                           ? std::min(best, member.liveness_)
                           : best;
            }
            random_source random(seed);
            upstream_load_table table({}, here, random);
            const auto choice =
                table.choose(service, share(list), {tried}, start, random);
            RC_ASSERT(choice.member_.has_value() == (best != liveness::down));
            for (const auto& member : list)
            {
                if (choice.member_ && member.record_ == *choice.member_)
                {
                    RC_ASSERT(may_be_chosen(member, tried));
                    RC_ASSERT(member.liveness_ == best);
                }
            }
        }));
}

// Guards against calls that leave the failure domain without need.
Test(upstream_choice, stays_in_the_own_failure_domain)
{
    random_source random(1);
    upstream_load_table table({}, here, random);
    const auto members = share(
        {make_member("far", "c", "q"), make_member("near", "b", "r"),
         make_member("own", "a", "r")});
    cr_assert_eq(count_choices(table, members, start, 100)["own"], 100);
}

// Guards against calls that pile up on an upstream whose slots are in use.
Test(upstream_choice, prefers_the_less_loaded_of_two)
{
    random_source random(1);
    upstream_load_table table({}, here, random);
    const auto members =
        share({make_member("busy", "a", "r"), make_member("idle", "a", "r")});
    table.choose(service, members, {}, start, random);
    table.finish(
        service, vm_id{"busy"}, {call_outcome::success, 2}, start + 1ms);
    cr_assert_eq(count_choices(table, members, start + 2ms, 50)["idle"], 50);
}

// Guards against a cold upstream that gets its whole share at once.
Test(upstream_choice, ramps_up_a_new_member)
{
    random_source random(1);
    upstream_load_table table({}, here, random);
    member_table::entry_list list{
        make_member("old1", "a", "r"), make_member("old2", "a", "r"),
        make_member("old3", "a", "r")};
    count_choices(table, share(list), start, 1);
    list.push_back(make_member("new", "a", "r"));
    const auto members = share(list);
    const auto cold = count_choices(table, members, start + 1s, 1000)["new"];
    const auto warm = count_choices(table, members, start + 60s, 1000)["new"];
    cr_assert_lt(cold, 60, "%d of 1000 calls went to a cold member", cold);
    cr_assert_gt(warm, 200, "%d of 1000 calls went to a warm member", warm);
}

// Guards against a lost domain whose calls flood the billed link between
// regions.
Test(upstream_choice, holds_the_budget_across_regions)
{
    const routing_settings settings;
    random_source random(1);
    upstream_load_table table(settings, here, random);
    const auto members = share({make_member("far", "c", "q")});
    int granted = 0;
    for (int call = 0; call < 10'000; ++call)
    {
        const auto choice =
            table.choose(service, members, {}, start + call * 1ms, random);
        granted += choice.member_ ? 1 : 0;
        cr_assert(
            choice.member_ ||
            choice.reason_ == choice_reason::region_budget_empty);
    }
    cr_assert_leq(granted, 100 + 50 * 10);
    cr_assert_geq(granted, 100 + 50 * 9);
}

// The pattern: a burst that the upstreams of a region refuse. Guards against
// nodes that all turn to the other region and choke the link, so that neither
// calls nor answers pass it in time.
Test(upstream_choice, a_burst_does_not_choke_the_link_between_regions)
{
    constexpr int nodes = 8;
    constexpr int seconds = 4;
    constexpr auto call_interval = 3ms;
    // A read with its answer on the users' smaller deployments, and their link.
    constexpr double bytes_per_call = 6'500;
    constexpr double link_bytes_per_second = 30e6 / 8;
    routing_settings settings;
    settings.region_calls_ = {30, 30}; // As in deploy/node.yaml.
    const auto members =
        share({make_member("near", "a", "r"), make_member("far", "c", "q")});
    const std::vector<vm_id> refused{vm_id{"near"}};
    choice_request request;
    request.tried_ = refused;
    int granted = 0;
    for (int node = 0; node < nodes; ++node)
    {
        random_source random(node);
        upstream_load_table table(settings, here, random);
        for (auto now = start; now < start + seconds * 1s; now += call_interval)
        {
            granted +=
                table.choose(service, members, request, now, random).member_
                    ? 1
                    : 0;
        }
    }
    cr_assert_lt(
        granted * bytes_per_call, 0.75 * seconds * link_bytes_per_second);
    cr_assert_gt(granted, nodes * 30 * (seconds - 1));
}

// Guards against a call that is counted twice or never ends in the books.
Test(upstream_choice, limits_calls_in_progress)
{
    random_source random(1);
    upstream_load_table table({}, here, random);
    const auto members = share({make_member("own", "a", "r")});
    const choice_request request{{}, 2};
    table.choose(service, members, request, start, random);
    table.choose(service, members, request, start, random);
    const auto third = table.choose(service, members, request, start, random);
    cr_assert(third.reason_ == choice_reason::pool_limit);
    table.finish(service, vm_id{"own"}, {}, start);
    const auto fourth = table.choose(service, members, request, start, random);
    cr_assert(fourth.member_.has_value());
    cr_assert_eq(table.describe(service, members, start)[0].in_progress_, 2);
}
