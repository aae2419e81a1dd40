#include "hemlockshelf/dissemination/push_plan.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "hemlockshelf/core/content_hash.hpp"

namespace hemlockshelf {

namespace {

struct placed_member
{
    std::uint64_t position_;
    vm_id vm_;

    friend auto
    operator<=>(const placed_member&, const placed_member&) = default;
};

constexpr position_range empty_range{1, 0};

bool contains(const position_range& range, std::uint64_t position)
{
    return range.first_ <= position && position <= range.last_;
}

position_range range_after(std::uint64_t position, std::uint64_t last)
{
    return position >= last ? empty_range : position_range{position + 1, last};
}

std::vector<vm_id> ordered_vms(std::vector<placed_member> members)
{
    std::ranges::sort(members);
    std::vector<vm_id> vms;
    vms.reserve(members.size());
    for (auto& member : members)
    {
        vms.push_back(std::move(member.vm_));
    }
    return vms;
}

/// Splits the own failure domain's part of the push into one range for each
/// child.
void plan_own_domain(
    const push_duty& duty,
    const tree_member& self,
    const std::vector<tree_member>& view,
    std::size_t fanout,
    std::vector<push_leg>& legs)
{
    std::vector<placed_member> members;
    for (const auto& member : view)
    {
        const auto position = position_of(member.vm_, duty.seed_);
        if (member.failure_domain_ == self.failure_domain_ &&
            member.vm_ != self.vm_ && contains(duty.range_, position))
        {
            members.push_back({position, member.vm_});
        }
    }
    std::ranges::sort(members);
    const auto children = std::min(members.size(), fanout);
    auto first = duty.range_.first_;
    for (std::size_t child = 0; child < children; ++child)
    {
        const auto begin = members.size() * child / children;
        const auto end = members.size() * (child + 1) / children;
        const auto last = end == members.size() ? duty.range_.last_
                                                : members[end - 1].position_;
        push_leg leg{
            push_scope::domain,
            {first, last},
            self.failure_domain_,
            self.region_,
            {}};
        for (auto index = begin; index < end; ++index)
        {
            leg.candidates_.push_back(members[index].vm_);
        }
        legs.push_back(std::move(leg));
        first = last + 1;
    }
}

template <class Key, class Select>
std::map<Key, std::vector<placed_member>> group_members(
    std::uint64_t seed, const std::vector<tree_member>& view, Select&& select)
{
    std::map<Key, std::vector<placed_member>> groups;
    for (const auto& member : view)
    {
        if (const auto* key = select(member))
        {
            groups[*key].push_back({position_of(member.vm_, seed), member.vm_});
        }
    }
    return groups;
}

void plan_other_domains(
    const push_duty& duty,
    const tree_member& self,
    const std::vector<tree_member>& view,
    std::vector<push_leg>& legs)
{
    auto groups = group_members<failure_domain_id>(
        duty.seed_, view,
        [&self](const tree_member& member)
        {
            const bool other = member.region_ == self.region_ &&
                               member.failure_domain_ != self.failure_domain_;
            return other ? &member.failure_domain_ : nullptr;
        });
    for (auto& [domain, members] : groups)
    {
        legs.push_back(
            {push_scope::domain,
             {},
             domain,
             self.region_,
             ordered_vms(std::move(members))});
    }
}

void plan_other_regions(
    const push_duty& duty,
    const tree_member& self,
    const std::vector<tree_member>& view,
    std::vector<push_leg>& legs)
{
    auto groups = group_members<region_id>(
        duty.seed_, view,
        [&self](const tree_member& member)
        {
            return member.region_ != self.region_ ? &member.region_ : nullptr;
        });
    for (auto& [region, members] : groups)
    {
        legs.push_back(
            {push_scope::region,
             {},
             {},
             region,
             ordered_vms(std::move(members))});
    }
}

} // namespace

std::uint64_t position_of(const vm_id& vm, std::uint64_t seed)
{
    return hash_text(vm.value(), seed);
}

push_duty
duty_of(const push_leg& leg, std::size_t candidate, std::uint64_t seed)
{
    if (leg.scope_ == push_scope::region)
    {
        return {leg.scope_, seed, {}};
    }
    const auto position = position_of(leg.candidates_.at(candidate), seed);
    // Members before the first candidate are unknown to this node, but may be
    // known to the candidate. Those between failed candidates are left to
    // repair.
    return {
        leg.scope_, seed,
        candidate == 0 ? leg.range_ : range_after(position, leg.range_.last_)};
}

std::vector<push_leg> plan_push(
    const push_duty& duty,
    const tree_member& self,
    const std::vector<tree_member>& view,
    std::size_t fanout)
{
    std::vector<push_leg> legs;
    if (duty.scope_ == push_scope::global)
    {
        plan_other_regions(duty, self, view, legs);
    }
    if (duty.scope_ != push_scope::domain)
    {
        plan_other_domains(duty, self, view, legs);
    }
    plan_own_domain(duty, self, view, fanout, legs);
    return legs;
}

} // namespace hemlockshelf
