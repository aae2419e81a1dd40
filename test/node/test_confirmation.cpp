#include <chrono>

#include "hemlockshelf/accounts/key_hash.hpp"
#include "hemlockshelf/dissemination/configuration_lease.hpp"
#include "test/node/control_node.hpp"
#include "test/node/one_pool.hpp"
#include "test/node/scripted_peer.hpp"
#include "test/node/scripted_source.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

/// A configuration with one account.
std::shared_ptr<const config_snapshot>
snapshot_with_account(std::uint64_t number)
{
    account_row account;
    account.key_hashes_.insert(sha256_hex("key-1"));
    config_tables tables;
    apply_change(tables, pool_change(number));
    apply_change(
        tables, {table_id::accounts, row_key{"mesh/observatory"}, account});
    return *config_snapshot::build(revision{number}, tables);
}

/// The lease lasts for 0.8 of this limit.
constexpr std::chrono::milliseconds short_limit{1500};

bool is_confirmed_within(
    std::chrono::milliseconds time, const control_node& node, bool confirmed)
{
    return becomes_true_within(
        time,
        [&]
        {
            return node.plane_.accounts_confirmed() == confirmed;
        });
}

} // namespace

// Guards against nodes that do not read the platform and refuse callers with a
// valid key, and against nodes that go on accepting keys while no node reaches
// the platform.
Test(confirmation, nodes_confirm_through_a_reader)
{
    memory_tables tables;
    scripted_source source;
    scripted_source silent;
    silent.set_answers(false);
    source.publish(snapshot_with_account(5));
    auto reader_settings = settings_of(1, "salle-belair");
    reader_settings.accounts_.revocation_limit_ = short_limit;
    control_node reader(
        reader_settings, polled_services{tables, tables, &source});
    cr_assert(is_serving_within(5s, reader));
    auto settings = settings_of(2, "salle-belair");
    settings.accounts_.revocation_limit_ = short_limit;
    settings.peers_ = {reader.settings_.control_};
    control_node other(settings, polled_services{tables, tables, &silent});
    cr_assert(is_serving_within(5s, other));
    cr_assert(is_confirmed_within(2s, reader, true));
    cr_assert(is_confirmed_within(2s, other, true));
    source.set_answers(false);
    cr_assert(is_confirmed_within(short_limit, reader, false));
    cr_assert(is_confirmed_within(short_limit, other, false));
    source.set_answers(true);
    cr_assert(is_confirmed_within(2s, reader, true));
    cr_assert(is_confirmed_within(2s, other, true));
}

// Guards against a node that takes the confirmation of a peer although it lacks
// the revision in which a key was withdrawn.
Test(confirmation, a_newer_revision_of_the_peer_does_not_confirm_the_own)
{
    memory_tables tables;
    scripted_source source;
    source.publish(snapshot_with_account(5));
    auto settings = settings_of(1, "salle-belair");
    settings.accounts_.revocation_limit_ = short_limit;
    scripted_peer peer(settings_of(2, "salle-belair"));
    peer.set_revision(revision{6});
    peer.set_confirmation_age(0ms);
    control_node node(settings, polled_services{tables, tables, &source});
    cr_assert(is_serving_within(5s, node));
    cr_assert(is_confirmed_within(2s, node, true));
    source.set_answers(false);
    node.members_.merge(peer.record());
    cr_assert(is_confirmed_within(short_limit, node, false));
    std::this_thread::sleep_for(1s);
    cr_assert(!node.plane_.accounts_confirmed());
    peer.set_revision(revision{5});
    cr_assert(is_confirmed_within(2s, node, true));
}

// Guards against a withdrawn key that is accepted because the platform, which
// has come back from an older copy, seems to confirm the accounts, and against
// a node that then refuses calls which need no account.
Test(confirmation, a_platform_that_lost_the_configuration_confirms_nothing)
{
    memory_tables tables;
    scripted_source source;
    source.publish(snapshot_with_account(5));
    auto settings = settings_of(1, "salle-belair");
    settings.accounts_.revocation_limit_ = short_limit;
    control_node node(settings, polled_services{tables, tables, &source});
    cr_assert(is_serving_within(5s, node));
    cr_assert(is_confirmed_within(2s, node, true));
    source.set_behind(true);
    cr_assert(is_confirmed_within(short_limit, node, false));
    std::this_thread::sleep_for(2 * configuration_lifetime);
    cr_assert(!node.plane_.accounts_confirmed());
    cr_assert(node.plane_.may_route());
    source.set_behind(false);
    cr_assert(is_confirmed_within(2s, node, true));
}
