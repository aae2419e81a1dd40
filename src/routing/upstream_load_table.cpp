#include "hemlockshelf/routing/upstream_load_table.hpp"

#include <utility>

namespace hemlockshelf {

upstream_load_table::upstream_load_table(
    const routing_settings& settings,
    entry_location location,
    random_source& random)
    : settings_(settings), location_(std::move(location)),
      spill_offset_((2 * random_fraction(random) - 1) * settings.spill_spread_)
{}

upstream_choice upstream_load_table::choose(
    const service_key& service,
    const member_list& members,
    const choice_request& request,
    steady_time now,
    random_source& random)
{
    return pools_.with_shard(
        service,
        [&](auto& pools)
        {
            auto& pool = pools[service];
            pool.spill_.offset_ = spill_offset_;
            sync_members(pool, members, location_, settings_, now);
            const std::lock_guard lock(region_budget_mutex_);
            auto choice = choose_upstream(
                pool, request, settings_, region_budget_, now, random);
            if (choice.member_)
            {
                start_call(pool, choice.member_->vm_);
            }
            return choice;
        });
}

void upstream_load_table::finish(
    const service_key& service,
    const vm_id& vm,
    const call_report& report,
    steady_time now)
{
    pools_.with_shard(
        service,
        [&](auto& pools)
        {
            const auto pool = pools.find(service);
            if (pool != pools.end())
            {
                end_call(pool->second, vm, report, settings_, now);
            }
        });
}

std::vector<candidate_description> upstream_load_table::describe(
    const service_key& service,
    const member_list& members,
    steady_time now) const
{
    pool_state copy;
    pools_.with_shard(
        service,
        [&](const auto& pools)
        {
            const auto pool = pools.find(service);
            if (pool != pools.end())
            {
                copy = pool->second;
            }
        });
    sync_members(copy, members, location_, settings_, now);
    return describe_candidates(copy, {}, settings_, now);
}

} // namespace hemlockshelf
