#include "hemlockshelf/dissemination/push_plan.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include <fmt/format.h>
#include <rapidcheck.h>

#include "hemlockshelf/core/content_hash.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

struct fleet
{
    std::vector<tree_member> members_;
    std::set<vm_id> failed_;
    std::size_t fanout_ = 2;
    std::uint64_t seed_ = 0;
};

fleet any_fleet(bool with_failures)
{
    fleet result;
    const auto regions = *rc::gen::inRange(1, 4);
    const auto domains = *rc::gen::inRange(1, 4);
    const auto size = *rc::gen::inRange(1, 14);
    for (int region = 0; region < regions; ++region)
    {
        for (int domain = 0; domain < domains; ++domain)
        {
            for (int member = 0; member < size; ++member)
            {
                const auto zone = fmt::format("{}-{}", region, domain);
                result.members_.push_back(
                    {vm_id{fmt::format("{}-{}", zone, member)},
                     failure_domain_id{zone},
                     region_id{fmt::format("{}", region)}});
            }
        }
    }
    result.fanout_ = *rc::gen::inRange<std::size_t>(1, 6);
    result.seed_ = *rc::gen::arbitrary<std::uint64_t>();
    if (with_failures)
    {
        for (const auto& member : result.members_)
        {
            if (*rc::gen::inRange(0, 3) == 0)
            {
                result.failed_.insert(member.vm_);
            }
        }
    }
    return result;
}

using view_source = std::function<std::vector<tree_member>(const tree_member&)>;

/// Runs a push in which a failed member never answers, and counts how often
/// each member was reached.
class push_run
{
public:
    push_run(const fleet& nodes, view_source view)
        : nodes_(nodes), view_(std::move(view))
    {
        for (const auto& member : nodes_.members_)
        {
            by_vm_[member.vm_] = &member;
        }
    }

    void deliver(const vm_id& vm, const push_assignment& duty)
    {
        ++reached_[vm];
        const auto& self = *by_vm_.at(vm);
        for (const auto& leg :
             plan_push(duty, self, view_(self), nodes_.fanout_))
        {
            for (std::size_t index = 0; index < leg.candidates_.size(); ++index)
            {
                if (!nodes_.failed_.contains(leg.candidates_[index]))
                {
                    links_.emplace(vm, leg.candidates_[index]);
                    deliver(
                        leg.candidates_[index],
                        assignment_for(leg, index, duty.seed_));
                    break;
                }
            }
        }
    }

    std::map<vm_id, int> reached_;
    /// Senders and receivers.
    std::set<std::pair<vm_id, vm_id>> links_;

private:
    const fleet& nodes_;
    view_source view_;
    std::map<vm_id, const tree_member*> by_vm_;
};

const tree_member& first_live(const fleet& nodes)
{
    const auto found = std::ranges::find_if(
        nodes.members_,
        [&](const tree_member& member)
        {
            return !nodes.failed_.contains(member.vm_);
        });
    RC_PRE(found != nodes.members_.end());
    return *found;
}

} // namespace

// Guards against members that a push misses or reaches twice, with and without
// members that do not answer.
Test(push_plan, reaches_every_live_member_exactly_once)
{
    cr_assert(rc::check(
        []
        {
            const auto nodes = any_fleet(*rc::gen::arbitrary<bool>());
            push_run run(
                nodes,
                [&nodes](const tree_member&)
                {
                    return nodes.members_;
                });
            run.deliver(
                first_live(nodes).vm_, {push_scope::global, nodes.seed_, {}});
            for (const auto& member : nodes.members_)
            {
                const int expected = nodes.failed_.contains(member.vm_) ? 0 : 1;
                RC_ASSERT(run.reached_[member.vm_] == expected);
            }
        }));
}

// Guards against a member that is reached twice, or an endless push, when
// views differ: each node knows an arbitrary part of the others.
Test(push_plan, differing_views_reach_no_member_twice)
{
    cr_assert(rc::check(
        []
        {
            const auto nodes = any_fleet(false);
            std::map<vm_id, std::vector<tree_member>> views;
            for (const auto& self : nodes.members_)
            {
                for (const auto& member : nodes.members_)
                {
                    if (*rc::gen::inRange(0, 4) != 0)
                    {
                        views[self.vm_].push_back(member);
                    }
                }
            }
            push_run run(
                nodes,
                [&views](const tree_member& self)
                {
                    return views[self.vm_];
                });
            run.deliver(
                nodes.members_.front().vm_,
                {push_scope::region, nodes.seed_, {}});
            for (const auto& [vm, count] : run.reached_)
            {
                RC_ASSERT(count <= 1);
            }
        }));
}

// Guards against a billed link that carries a delta more than once.
Test(push_plan, one_link_leads_to_each_region_and_failure_domain)
{
    cr_assert(rc::check(
        []
        {
            const auto nodes = any_fleet(false);
            const auto& self = nodes.members_.front();
            std::set<region_id> regions;
            std::set<failure_domain_id> domains;
            for (const auto& leg : plan_push(
                     {push_scope::global, nodes.seed_, {}}, self,
                     nodes.members_, nodes.fanout_))
            {
                if (leg.region_ != self.region_)
                {
                    RC_ASSERT(leg.scope_ == push_scope::region);
                    RC_ASSERT(regions.insert(leg.region_).second);
                }
                else if (leg.failure_domain_ != self.failure_domain_)
                {
                    RC_ASSERT(domains.insert(leg.failure_domain_).second);
                }
            }
        }));
}

// Guards against a node that sends more than its share.
Test(push_plan, a_node_has_at_most_fanout_children_in_its_domain)
{
    cr_assert(rc::check(
        []
        {
            const auto nodes = any_fleet(false);
            const auto& self = nodes.members_.front();
            const auto legs = plan_push(
                {push_scope::region, nodes.seed_, {}}, self, nodes.members_,
                nodes.fanout_);
            const auto children = std::ranges::count(
                legs, self.failure_domain_, &push_target::failure_domain_);
            RC_ASSERT(children <= static_cast<int>(nodes.fanout_));
        }));
}

namespace {

/// Returns one region with an entry domain of one node and a failure domain of
/// `size` nodes.
fleet fleet_of(std::size_t size)
{
    fleet nodes;
    nodes.fanout_ = 4;
    const region_id region{"r"};
    nodes.members_.push_back({vm_id{"entry"}, failure_domain_id{"e"}, region});
    for (std::size_t index = 0; index < size; ++index)
    {
        nodes.members_.push_back(
            {vm_id{fmt::format("vm-{}", index)}, failure_domain_id{"d"},
             region});
    }
    return nodes;
}

} // namespace

// Guards against a cost per node and edit that grows with the failure domain:
// the budget of 3 KB/s at 38,000 edits a day allows 6,985 bytes an edit, and
// neither repeated deliveries nor a new connection for each of them.
Test(push_plan, deltas_use_few_links_at_any_size_of_a_failure_domain)
{
    constexpr std::size_t edits = 24;
    constexpr std::size_t links_to_a_node = 2;
    std::uint64_t random = 1;
    for (const std::size_t size : {4, 16, 32, 128, 512, 1143})
    {
        const auto nodes = fleet_of(size);
        push_run run(
            nodes,
            [&nodes](const tree_member&)
            {
                return nodes.members_;
            });
        for (std::size_t edit = 0; edit < edits; ++edit)
        {
            random = hash_text("next", random);
            run.deliver(
                vm_id{"entry"}, {push_scope::global,
                                 make_push_seed(random, delta_push_orders),
                                 {}});
        }
        for (const auto& [vm, count] : run.reached_)
        {
            cr_assert_eq(count, static_cast<int>(edits));
        }
        cr_assert_leq(
            run.links_.size(), links_to_a_node * size, "%zu nodes: %zu links",
            size, run.links_.size());
    }
}

// Guards against members that change all at once, as after a start, and need a
// new connection for nearly every delivery: 48 links a node for 256 pushes.
Test(push_plan, records_of_all_members_use_few_links)
{
    constexpr std::size_t size = 256;
    constexpr std::size_t links_of_a_node = 48;
    const auto nodes = fleet_of(size);
    push_run run(
        nodes,
        [&nodes](const tree_member&)
        {
            return nodes.members_;
        });
    std::uint64_t random = 1;
    for (const auto& origin : nodes.members_)
    {
        random = hash_text("next", random);
        run.deliver(
            origin.vm_, {push_scope::global,
                         make_push_seed(random, record_push_orders),
                         {}});
    }
    cr_assert_leq(
        run.links_.size(), links_of_a_node * size, "%zu links",
        run.links_.size());
}

// Guards against pushes that are taken for one another because they follow the
// same order.
Test(push_plan, pushes_in_one_order_have_seeds_of_their_own)
{
    cr_assert(rc::check(
        []
        {
            const auto first = *rc::gen::arbitrary<std::uint64_t>();
            const auto second = first + all_push_orders;
            RC_ASSERT(make_push_seed(first, 1) != make_push_seed(second, 1));
            RC_ASSERT(
                position_of(vm_id{"a"}, make_push_seed(first, 1)) ==
                position_of(vm_id{"a"}, make_push_seed(second, 1)));
        }));
}
