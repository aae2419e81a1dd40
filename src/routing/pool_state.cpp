#include "hemlockshelf/routing/pool_state.hpp"

#include <algorithm>
#include <unordered_map>

#include "hemlockshelf/routing/ejection.hpp"

namespace hemlockshelf {

namespace {

using load_map = std::unordered_map<vm_id, upstream_load>;

load_map loads_by_vm(pool_state& state)
{
    load_map known;
    for (std::size_t index = 0; index < state.loads_.size(); ++index)
    {
        const auto& vm = state.members_->at(index).record_.vm_;
        known.emplace(vm, state.loads_[index]);
    }
    return known;
}

upstream_load find_or_create_load(
    const member_record& member,
    load_map& known,
    bool first_list,
    steady_time now)
{
    const auto found = known.find(member.vm_);
    if (found != known.end() &&
        found->second.incarnation_ == member.incarnation_)
    {
        return found->second;
    }
    upstream_load load;
    load.incarnation_ = member.incarnation_;
    if (!first_list || member.state_ == upstream_state::warming)
    {
        load.appeared_at_ = now;
    }
    return load;
}

} // namespace

void sync_members(
    pool_state& state,
    const member_list& members,
    const entry_location& location,
    const routing_settings& settings,
    steady_time now)
{
    if (state.members_ == members || members == nullptr)
    {
        return;
    }
    const bool first_list = state.members_ == nullptr;
    auto known = loads_by_vm(state);
    state.loads_.clear();
    state.tiers_.clear();
    for (const auto& member : *members)
    {
        state.loads_.push_back(
            find_or_create_load(member.record_, known, first_list, now));
        state.tiers_.push_back(tier_of(member.record_, location));
    }
    state.members_ = members;
    enforce_ejection_limit(state.loads_, settings);
}

std::optional<std::size_t> find_member(const pool_state& state, const vm_id& vm)
{
    for (std::size_t index = 0; index < state.loads_.size(); ++index)
    {
        if ((*state.members_)[index].record_.vm_ == vm)
        {
            return index;
        }
    }
    return std::nullopt;
}

void start_call(pool_state& state, const vm_id& vm)
{
    ++state.in_progress_;
    if (const auto index = find_member(state, vm))
    {
        record_call_started(state.loads_[*index]);
    }
}

void end_call(
    pool_state& state,
    const vm_id& vm,
    const call_report& report,
    const routing_settings& settings,
    steady_time now)
{
    state.in_progress_ -= state.in_progress_ > 0 ? 1 : 0;
    if (const auto index = find_member(state, vm))
    {
        record_call_ended(state.loads_[*index], report, now);
        record_outcome(state.loads_, *index, report.outcome_, settings, now);
    }
}

} // namespace hemlockshelf
