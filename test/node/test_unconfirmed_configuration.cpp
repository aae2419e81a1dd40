#include <chrono>
#include <memory>

#include "hemlockshelf/dissemination/configuration_lease.hpp"
#include "test/node/control_node.hpp"
#include "test/node/one_pool.hpp"
#include "test/node/scripted_peer.hpp"
#include "test/node/scripted_source.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

/// A published version must be in force, or not be acted on, within this time.
constexpr std::chrono::seconds in_force_bound{3};

/// A node that runs revision 5 and a peer that answers for other nodes.
struct node_and_peer
{
    node_and_peer()
    {
        source_.publish(snapshot_of(5));
        peer_.set_revision(revision{5});
        peer_.set_confirmation_age(0ms);
        node_ = std::make_unique<control_node>(
            settings_of(1, "salle-belair"),
            polled_services{tables_, tables_, &source_});
        cr_assert(is_serving_within(5s, *node_));
        node_->members_.merge(peer_.record());
        std::this_thread::sleep_for(1s);
        cr_assert(node_->plane_.may_route());
    }

    memory_tables tables_;
    scripted_source source_;
    scripted_peer peer_{settings_of(2, "salle-belair")};
    std::unique_ptr<control_node> node_;
};

} // namespace

// Guards against a node that handles calls by an old version although it has
// heard of a newer one, because what it lacks reaches it too late.
Test(unconfirmed_configuration, a_node_that_stays_behind_refuses_calls)
{
    node_and_peer mesh;
    mesh.source_.set_answers(false);
    mesh.peer_.set_revision(revision{6});
    cr_assert(becomes_true_within(
        in_force_bound,
        [&mesh]
        {
            return !mesh.node_->plane_.may_route();
        }));
    mesh.peer_.set_revision(revision{5});
    mesh.source_.set_answers(true);
    mesh.source_.publish(snapshot_of(6));
    cr_assert(becomes_true_within(
        in_force_bound,
        [&mesh]
        {
            return mesh.node_->plane_.may_route();
        }));
}

// Guards against a node that refuses all calls because it is cut off: it serves
// by what it runs.
Test(unconfirmed_configuration, a_node_that_is_cut_off_routes_calls)
{
    node_and_peer mesh;
    mesh.source_.set_answers(false);
    mesh.peer_.stop();
    const auto until =
        std::chrono::steady_clock::now() + 2 * configuration_lifetime;
    while (std::chrono::steady_clock::now() < until)
    {
        cr_assert(mesh.node_->plane_.may_route());
        std::this_thread::sleep_for(20ms);
    }
}

// Guards against a node that other nodes keep confirming and that refuses calls
// although its configuration is the newest.
Test(unconfirmed_configuration, a_node_confirmed_by_peers_routes_calls)
{
    node_and_peer mesh;
    mesh.source_.set_answers(false);
    const auto until =
        std::chrono::steady_clock::now() + 2 * configuration_lifetime;
    while (std::chrono::steady_clock::now() < until)
    {
        cr_assert(mesh.node_->plane_.may_route());
        std::this_thread::sleep_for(20ms);
    }
}
