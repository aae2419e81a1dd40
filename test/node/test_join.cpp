#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <vector>

#include "node/directory.hpp"
#include "test/node/control_node.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

// Guards against an entry that refuses calls with `no_upstream` for seconds.
// This happens if its peers learn of the members of a pool only after they have
// sent it their records, and the push of those members does not include the
// entry yet.
Test(join, a_joined_node_soon_learns_what_its_peers_learned_meanwhile)
{
    memory_tables tables;
    control_node peer(settings_of(1, "salle-belair"), tables);
    cr_assert(is_serving_within(5s, peer));
    auto settings = settings_of(2, "salle-bourg");
    settings.peers_ = {peer.settings_.control_};
    control_node joined(settings, tables);
    cr_assert(is_serving_within(5s, joined));
    member_record missed;
    missed.vm_ = vm_id{"vm-3"};
    missed.failure_domain_ = settings.failure_domain_;
    missed.region_ = settings.region_;
    missed.state_ = upstream_state::ready;
    missed.incarnation_ = incarnation{1};
    peer.members_.merge(missed);
    cr_assert(becomes_true_within(
        2s,
        [&]
        {
            return joined.members_.find(missed.vm_).has_value();
        }));
}

// Guards against a join that waits for the deadline of a contact that is gone
// although others have answered. Rows of the directory can outlive their nodes.
Test(join, a_silent_contact_does_not_hold_a_join_up)
{
    memory_tables tables;
    control_node peer(settings_of(1, "salle-belair"), tables);
    cr_assert(is_serving_within(5s, peer));
    const silent_server silent({unique_address(1).address_, 17004});
    auto settings = settings_of(2, "salle-bourg");
    settings.peers_ = {silent.endpoint_, peer.settings_.control_};
    const control_node joined(settings, tables);
    cr_assert(is_serving_within(700ms, joined));
}

// A whole deployment restarts after a power loss. Guards against nodes that
// discover each other only through successive repairs.
Test(join, nodes_that_start_together_soon_know_each_other)
{
    constexpr std::size_t count = 6;
    memory_tables tables;
    std::vector<std::unique_ptr<control_node>> nodes;
    nodes.reserve(count);
    const silent_server gone({unique_address(1).address_, 17100});
    for (const auto* vm : {"gone-1", "gone-2", "gone-3"})
    {
        cr_assert(write_directory_row(
            tables,
            {failure_domain_id{"salle-belair"}, vm_id{vm}, gone.endpoint_}));
    }
    // The rows from before the power loss still exist.
    for (std::size_t number = 1; number <= count; ++number)
    {
        const auto settings = settings_of_many(number, count);
        cr_assert(write_directory_row(
            tables, {settings.failure_domain_, settings.vm_,
                     settings.advertised_control_}));
    }
    for (std::size_t number = 1; number <= count; ++number)
    {
        nodes.push_back(std::make_unique<control_node>(
            settings_of_many(number, count), tables));
    }
    cr_assert(becomes_true_within(
        800ms,
        [&]
        {
            return std::ranges::all_of(
                nodes,
                [](const auto& node)
                {
                    return is_serving(*node) && node->members_.size() == count;
                });
        }));
}
