#include "node/control_plane.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include "adapters/telemetry/prometheus_metrics.hpp"
#include "hemlockshelf/core/real_clock.hpp"
#include "node/directory.hpp"
#include "standins/platform/memory_tables.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

/// Returns an address of this test's own, because tests run in parallel in
/// processes of their own.
endpoint own_address(int host)
{
    const auto process = static_cast<int>(::getpid());
    return {
        fmt::format(
            "127.62.{}.{}", 100 + process / 120 % 100,
            2 * (process % 120) + host),
        17003};
}

node_settings settings_at(
    const endpoint& control, const std::string& vm, const std::string& domain)
{
    node_settings settings;
    settings.vm_ = vm_id{vm};
    settings.failure_domain_ = failure_domain_id{domain};
    settings.region_ = region_id{"quebec-centre"};
    settings.control_ = control;
    settings.advertised_control_ = settings.control_;
    settings.source_address_ = settings.control_.address_;
    return settings;
}

node_settings settings_of(int host, const std::string& domain)
{
    return settings_at(own_address(host), fmt::format("vm-{}", host), domain);
}

/// Returns the settings of one of `count` nodes in two failure domains, which
/// differ in their ports.
node_settings settings_of_many(std::size_t number, std::size_t count)
{
    auto control = own_address(1);
    control.port_ = static_cast<std::uint16_t>(control.port_ + number);
    return settings_at(
        control, fmt::format("vm-{}", number),
        number <= count / 2 ? "salle-belair" : "salle-bourg");
}

/// The control plane of one node over tables that nodes share.
struct control_node
{
    control_node(node_settings settings, memory_tables& tables)
        : settings_(std::move(settings)), plane_(
                                              settings_,
                                              time_,
                                              polled_services{tables, tables},
                                              snapshots_,
                                              members_,
                                              upstream_,
                                              metrics_)
    {
        plane_.start();
    }

    ~control_node()
    {
        plane_.stop();
    }

    control_node(const control_node&) = delete;
    control_node& operator=(const control_node&) = delete;

    real_clock time_;
    node_settings settings_;
    prometheus_metrics metrics_;
    snapshot_store snapshots_;
    member_table members_;
    own_upstream upstream_{time_, std::chrono::milliseconds{3000}};
    control_plane plane_;
};

/// Takes connections and never answers.
struct silent_server
{
    explicit silent_server(endpoint where)
        : where_(std::move(where)),
          acceptor_(
              context_,
              {boost::asio::ip::make_address(where_.address_), where_.port_})
    {}

    endpoint where_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

template <class Condition>
bool holds_within(std::chrono::milliseconds time, Condition&& condition)
{
    const auto until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(10ms);
    }
    return condition();
}

bool serves(const control_node& node)
{
    return node.plane_.state() == node_state::serving;
}

bool serves_within(std::chrono::milliseconds time, const control_node& node)
{
    return holds_within(
        time,
        [&node]
        {
            return serves(node);
        });
}

} // namespace

// Guards against an entry that refuses calls with `no_upstream` for seconds,
// because its peers learned of a pool's members only after they had given it
// theirs, and the push of those members did not know the entry yet.
Test(join, a_joined_node_soon_learns_what_its_peers_learned_meanwhile)
{
    memory_tables tables;
    control_node peer(settings_of(1, "salle-belair"), tables);
    cr_assert(serves_within(5s, peer));
    auto settings = settings_of(2, "salle-bourg");
    settings.peers_ = {peer.settings_.control_};
    control_node joined(settings, tables);
    cr_assert(serves_within(5s, joined));
    member_record missed;
    missed.vm_ = vm_id{"vm-3"};
    missed.failure_domain_ = settings.failure_domain_;
    missed.region_ = settings.region_;
    missed.state_ = upstream_state::ready;
    missed.incarnation_ = incarnation{1};
    peer.members_.merge(missed);
    cr_assert(holds_within(
        2s,
        [&]
        {
            return joined.members_.find(missed.vm_).has_value();
        }));
}

// Guards against a join that waits for the deadline of a contact that is gone,
// while others have answered: rows of the directory outlive their nodes.
Test(join, a_silent_contact_does_not_hold_a_join_up)
{
    memory_tables tables;
    control_node peer(settings_of(1, "salle-belair"), tables);
    cr_assert(serves_within(5s, peer));
    const silent_server silent({own_address(1).address_, 17004});
    auto settings = settings_of(2, "salle-bourg");
    settings.peers_ = {silent.where_, peer.settings_.control_};
    const control_node joined(settings, tables);
    cr_assert(serves_within(700ms, joined));
}

// The pattern: a whole deployment loses its power and starts again. Guards
// against nodes that find each other only by one repair after another.
Test(join, nodes_that_start_together_soon_know_each_other)
{
    constexpr std::size_t count = 6;
    memory_tables tables;
    std::vector<std::unique_ptr<control_node>> nodes;
    nodes.reserve(count);
    const silent_server gone({own_address(1).address_, 17100});
    for (const auto* vm : {"gone-1", "gone-2", "gone-3"})
    {
        cr_assert(write_directory_row(
            tables,
            {failure_domain_id{"salle-belair"}, vm_id{vm}, gone.where_}));
    }
    // The rows of the time before the loss are still there.
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
    cr_assert(holds_within(
        800ms,
        [&]
        {
            return std::ranges::all_of(
                nodes,
                [](const auto& node)
                {
                    return serves(*node) && node->members_.size() == count;
                });
        }));
}
