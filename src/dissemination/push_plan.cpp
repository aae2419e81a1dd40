#include "hemlockshelf/dissemination/push_plan.hpp"

#include <algorithm>
#include <limits>
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

constexpr std::uint64_t order_mask = push_order_count - 1;
constexpr auto full_ring_size = std::numeric_limits<std::uint64_t>::max();

/// Returns all positions except the given one, starting after it.
position_range range_after(std::uint64_t position)
{
    return {position + 1, full_ring_size};
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

/// Returns the members of the local failure domain within the range, ordered by
/// their distance from its start, which replaces their position.
std::vector<placed_member> members_in_range(
    const position_range& range,
    std::uint64_t seed,
    const tree_member& self,
    const std::vector<tree_member>& view)
{
    std::vector<placed_member> members;
    for (const auto& member : view)
    {
        if (member.failure_domain_ != self.failure_domain_ ||
            member.vm_ == self.vm_)
        {
            continue;
        }
        const auto position = position_of(member.vm_, seed);
        if (range.contains(position))
        {
            members.push_back({position - range.first_, member.vm_});
        }
    }
    std::ranges::sort(members);
    return members;
}

/// Splits the local failure domain's part of the push into one range per child.
/// A range extends to the next child, so that it includes members known only to
/// the child.
void plan_own_domain(
    const push_assignment& duty,
    const tree_member& self,
    const std::vector<tree_member>& view,
    std::size_t fanout,
    std::vector<push_target>& legs)
{
    const auto range = duty.scope_ == push_scope::domain
                           ? duty.range_
                           : range_after(position_of(self.vm_, duty.seed_));
    const auto members = members_in_range(range, duty.seed_, self, view);
    const auto children = std::min(members.size(), fanout);
    for (std::size_t child = 0; child < children; ++child)
    {
        const auto begin = members.size() * child / children;
        const auto end = members.size() * (child + 1) / children;
        const auto first = members[begin].position_;
        const auto after =
            end == members.size() ? range.size_ : members[end].position_;
        push_target leg{
            push_scope::domain,
            {range.first_ + first, after - first},
            self.failure_domain_,
            self.region_,
            {}};
        for (auto index = begin; index < end; ++index)
        {
            leg.candidates_.push_back(members[index].vm_);
        }
        legs.push_back(std::move(leg));
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
    const push_assignment& duty,
    const tree_member& self,
    const std::vector<tree_member>& view,
    std::vector<push_target>& legs)
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
             {0, full_ring_size},
             domain,
             self.region_,
             ordered_vms(std::move(members))});
    }
}

void plan_other_regions(
    const push_assignment& duty,
    const tree_member& self,
    const std::vector<tree_member>& view,
    std::vector<push_target>& legs)
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

std::uint64_t make_push_seed(std::uint64_t random, std::uint64_t orders)
{
    return (random & ~order_mask) | (random & order_mask) % orders;
}

std::uint64_t position_of(const vm_id& vm, std::uint64_t seed)
{
    return hash_text(vm.value(), seed & order_mask);
}

bool covers(const push_assignment& outer, const push_assignment& inner)
{
    if (outer.seed_ != inner.seed_ || outer.scope_ > inner.scope_)
    {
        return false;
    }
    if (outer.scope_ != push_scope::domain)
    {
        return true;
    }
    const auto offset = inner.range_.first_ - outer.range_.first_;
    return inner.range_.size_ <= outer.range_.size_ &&
           offset <= outer.range_.size_ - inner.range_.size_;
}

push_assignment
start_push(push_scope scope, const vm_id& self, std::uint64_t seed)
{
    return {scope, seed, range_after(position_of(self, seed))};
}

push_assignment assignment_for(
    const push_target& leg, std::size_t candidate, std::uint64_t seed)
{
    const auto position = position_of(leg.candidates_.at(candidate), seed);
    if (leg.range_.size_ == full_ring_size || leg.scope_ != push_scope::domain)
    {
        return {leg.scope_, seed, range_after(position)};
    }
    const auto skipped = position - leg.range_.first_ + 1;
    return {leg.scope_, seed, {position + 1, leg.range_.size_ - skipped}};
}

std::vector<push_target> plan_push(
    const push_assignment& duty,
    const tree_member& self,
    const std::vector<tree_member>& view,
    std::size_t fanout)
{
    std::vector<push_target> legs;
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
