// Cost per call of the choice of an upstream.

#include <chrono>
#include <memory>
#include <string>

#include <benchmark/benchmark.h>

#include "hemlockshelf/routing/upstream_load_table.hpp"

namespace {

using namespace hemlockshelf;

const service_key service{client_account_id{"regie"}, service_name{"desk"}};

// A quarter of the members is in the entry's failure domain, a quarter in its
// region and a half in another region.
member_list make_members(std::int64_t count)
{
    auto list = std::make_shared<member_table::entry_list>();
    for (std::int64_t number = 0; number < count; ++number)
    {
        member_entry member;
        member.record_.vm_ = vm_id{"vm-" + std::to_string(number)};
        member.record_.failure_domain_ =
            failure_domain_id{"domain-" + std::to_string(number % 4)};
        member.record_.region_ = region_id{number % 4 < 2 ? "here" : "there"};
        member.record_.state_ = upstream_state::ready;
        member.record_.slots_ = slot_count{20};
        list->push_back(member);
    }
    return list;
}

upstream_load_table make_table(random_source& random)
{
    return upstream_load_table(
        {}, {failure_domain_id{"domain-0"}, region_id{"here"}}, random);
}

void choose_and_finish(benchmark::State& state)
{
    random_source random(1);
    auto table = make_table(random);
    const auto members = make_members(state.range(0));
    auto now = std::chrono::steady_clock::now();
    for (auto _ : state)
    {
        now += std::chrono::microseconds(100);
        const auto choice = table.choose(service, members, {}, now, random);
        table.finish(
            service, choice.member_->vm_, {call_outcome::success, 15}, now);
    }
}
BENCHMARK(choose_and_finish)->Arg(4)->Arg(100);

// What a change of the member list costs the next call.
void choose_after_member_change(benchmark::State& state)
{
    random_source random(1);
    auto table = make_table(random);
    const member_list lists[] = {
        make_members(state.range(0)), make_members(state.range(0))};
    auto now = std::chrono::steady_clock::now();
    std::size_t turn = 0;
    for (auto _ : state)
    {
        const auto choice =
            table.choose(service, lists[++turn % 2], {}, now, random);
        table.finish(service, choice.member_->vm_, {}, now);
    }
}
BENCHMARK(choose_after_member_change)->Arg(4)->Arg(100);

} // namespace
