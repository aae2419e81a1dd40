#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "adapters/rpc/config_payload.hpp"
#include "hemlockshelf/dissemination/readers.hpp"
#include "test/node/control_node.hpp"
#include "test/node/one_pool.hpp"
#include "test/node/scripted_peer.hpp"
#include "test/node/scripted_source.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

// A version must be in force on every node within 3 s. The time limits below
// are the shares of this time that docs/design.md grants to each stage when
// steps of it are lost.

namespace {

/// Returns the record of a member that accepts connections and never answers.
member_record silent_member(
    const silent_server& silent,
    const std::string& vm,
    const std::string& domain,
    bit_rate link)
{
    member_record record;
    record.vm_ = vm_id{vm};
    record.failure_domain_ = failure_domain_id{domain};
    record.region_ = region_id{"quebec-centre"};
    record.control_address_ = to_string(silent.endpoint_);
    record.incarnation_ = incarnation{1};
    record.link_ = link;
    return record;
}

bool holds(const control_node& node, std::uint64_t number)
{
    return node.snapshots_.current()->number() == revision{number};
}

/// Returns a push of a delta whose base no node in the test holds.
push_message push_with_gap(std::uint64_t number)
{
    push_message message;
    message.duty_ = {push_scope::domain, number, {}};
    message.revision_ = revision{number};
    message.deltas_ = encode_deltas(
        {{{revision{number},
           {pool_change(number)},
           snapshot_of(number)->tables().hash_,
           revision{number - 2}},
          {}}});
    return message;
}

bool was_sent(scripted_peer& peer, std::uint64_t number)
{
    return std::ranges::any_of(
        peer.pushes(),
        [number](const push_message& message)
        {
            return message.revision_ == revision{number} &&
                   !message.deltas_.empty();
        });
}

/// A reader, and failure domains of which all members but one are silent.
struct silent_domains
{
    static constexpr std::uint16_t domains = 4;
    static constexpr int silent_members = 5;

    silent_domains()
    {
        cr_assert(is_serving_within(5s, reader_));
        for (std::uint16_t domain = 1; domain <= domains; ++domain)
        {
            const auto name = fmt::format("salle-{}", domain);
            responders_.push_back(
                std::make_unique<scripted_peer>(settings_of_one(
                    1 + domain, fmt::format("answering-{}", domain), name)));
            reader_.members_.merge(responders_.back()->record());
            for (int member = 0; member < silent_members; ++member)
            {
                reader_.members_.merge(silent_member(
                    silent_, fmt::format("silent-{}-{}", domain, member), name,
                    bit_rate{0}));
            }
        }
    }

    static node_settings reader_settings()
    {
        auto settings = settings_of_one(1, "reader", "salle-belair");
        settings.link_ = bit_rate{1000};
        return settings;
    }

    [[nodiscard]] bool all_were_sent(std::uint64_t number) const
    {
        return std::ranges::all_of(
            responders_,
            [number](const auto& peer)
            {
                return was_sent(*peer, number);
            });
    }

    memory_tables tables_;
    scripted_source source_;
    silent_server silent_{{unique_address(1).address_, 17100}};
    std::vector<std::unique_ptr<scripted_peer>> responders_;
    control_node reader_{
        reader_settings(), polled_services{tables_, tables_, &source_}};
};

} // namespace

// Guards against a failure domain that gets a version seconds late because its
// members are asked one after the other and most of them are silent, for
// example without power.
Test(lost_step, silent_members_do_not_delay_a_push_to_their_domain)
{
    silent_domains mesh;
    mesh.source_.publish(snapshot_of(9));
    cr_assert(becomes_true_within(
        1500ms,
        [&mesh]
        {
            return mesh.all_were_sent(9);
        }));
}

// Guards against pushes that leave out a failure domain because some of its
// members did not answer.
Test(lost_step, silent_members_do_not_exclude_their_domain_from_pushes)
{
    silent_domains mesh;
    for (std::uint64_t number = 9; number <= 11; ++number)
    {
        mesh.source_.publish(snapshot_of(number));
        std::this_thread::sleep_for(1100ms);
    }
    // Every member has been asked and the silent ones have been counted.
    std::this_thread::sleep_for(4s);
    mesh.source_.publish(snapshot_of(12));
    cr_assert(becomes_true_within(
        1500ms,
        [&mesh]
        {
            return mesh.all_were_sent(12);
        }));
}

// Guards against pushes that leave out a failure domain that counts as
// unreachable although one of its members answers.
Test(lost_step, a_domain_that_counts_as_unreachable_is_still_pushed_to)
{
    silent_domains mesh;
    for (const auto& entry : mesh.reader_.members_.all())
    {
        if (entry.record_.vm_ != mesh.reader_.settings_.vm_)
        {
            mesh.reader_.members_.set_liveness(
                entry.record_.vm_, entry.record_.incarnation_,
                liveness::unreachable);
        }
    }
    mesh.source_.publish(snapshot_of(9));
    cr_assert(becomes_true_within(
        1500ms,
        [&mesh]
        {
            return mesh.all_were_sent(9);
        }));
}

namespace {

/// A failure domain that no push reaches, and a reader in another one that
/// holds a newer revision.
struct stale_domain
{
    stale_domain(std::uint16_t count, std::size_t readers)
    {
        source_.publish(snapshot_of(1));
        for (std::uint16_t number = 1; number <= count; ++number)
        {
            auto settings =
                settings_of_one(number, fmt::format("vm-{}", number), domain);
            settings.dissemination_.publication_readers_ = readers;
            // Only the watch of the readers finds the revision in time.
            settings.dissemination_.cross_domain_interval_ = 1h;
            settings.dissemination_.repair_interval_ = 1h;
            if (number > 1)
            {
                settings.peers_ = {nodes_.front()->settings_.control_};
            }
            nodes_.push_back(std::make_unique<control_node>(
                settings, polled_services{tables_, tables_, &source_}));
            cr_assert(is_serving_within(5s, *nodes_.back()));
        }
        // The contacts of nodes that have just joined would find it too.
        std::this_thread::sleep_for(3500ms);
        reader_.set_fetch_answer(
            {config_answer_kind::deltas,
             encode_deltas(
                 {{{revision{9},
                    {pool_change(9)},
                    snapshot_of(9)->tables().hash_,
                    revision{1}},
                   {}}}),
             {}});
        reader_.set_revision(revision{9});
    }

    static node_settings reader_settings()
    {
        auto settings = settings_of_one(50, "reader", "salle-belair");
        settings.link_ = bit_rate{1000};
        return settings;
    }

    void add_to_all(const member_record& record)
    {
        for (const auto& node : nodes_)
        {
            node->members_.merge(record);
        }
    }

    /// Adds silent readers that are preferred over the one that answers, each
    /// in a failure domain of its own.
    void add_silent_readers(int count)
    {
        for (int number = 0; number < count; ++number)
        {
            add_to_all(silent_member(
                silent_, fmt::format("silent-reader-{}", number),
                fmt::format("salle-{}", number), bit_rate{2000}));
        }
    }

    [[nodiscard]] bool all_hold(std::uint64_t number) const
    {
        return std::ranges::all_of(
            nodes_,
            [number](const auto& node)
            {
                return holds(*node, number);
            });
    }

    static constexpr const char* domain = "salle-bourg";

    memory_tables tables_;
    scripted_source source_;
    silent_server silent_{{unique_address(1).address_, 17100}};
    scripted_peer reader_{reader_settings()};
    std::vector<std::unique_ptr<control_node>> nodes_;
};

} // namespace

// Guards against a failure domain that keeps an old version because the readers
// that it compares itself with are silent: each one cost the deadline of a
// heartbeat.
Test(lost_step, silent_readers_do_not_delay_the_watch_of_a_domain)
{
    constexpr int silent_readers = 3;
    stale_domain mesh(1, silent_readers + 1);
    mesh.add_silent_readers(silent_readers);
    mesh.add_to_all(mesh.reader_.record());
    cr_assert(becomes_true_within(
        2s,
        [&mesh]
        {
            return mesh.all_hold(9);
        }));
}

// Guards against a failure domain that keeps an old version because the two
// nodes that compare it with a reader are silent. It takes the others over 3 s
// to notice that.
Test(lost_step, silent_watchers_do_not_delay_the_watch_of_a_domain)
{
    stale_domain mesh(2, 1);
    std::vector<vm_id> members;
    for (const auto& node : mesh.nodes_)
    {
        members.push_back(node->settings_.vm_);
    }
    // Two members that precede the nodes in the order of the watchers.
    int added = 0;
    for (int number = 0; added < 2; ++number)
    {
        const vm_id vm{fmt::format("silent-{}", number)};
        auto candidates = members;
        candidates.push_back(vm);
        const auto chosen = choose_by_rendezvous_hash(
            failure_domain_id{stale_domain::domain}, candidates, 1);
        if (chosen.front() == vm)
        {
            mesh.add_to_all(silent_member(
                mesh.silent_, vm.value(), stale_domain::domain, bit_rate{0}));
            ++added;
        }
    }
    mesh.add_to_all(mesh.reader_.record());
    cr_assert(becomes_true_within(
        2s,
        [&mesh]
        {
            return mesh.all_hold(9);
        }));
}

// Guards against a node that refuses what a sound peer offers while it waits
// for a fetch from a silent one.
Test(lost_step, a_silent_peer_does_not_block_a_fetch_from_another)
{
    memory_tables tables;
    control_node receiver(
        settings_of_one(1, "receiver", "salle-belair"), tables);
    cr_assert(is_serving_within(5s, receiver));
    scripted_peer sender(settings_of_one(2, "sender", "salle-belair"));
    sender.set_fetch_answer(
        {config_answer_kind::snapshot, encode_snapshot(*snapshot_of(9)), {}});
    const silent_server silent{{unique_address(1).address_, 17100}};
    receiver.members_.merge(sender.record());
    receiver.members_.merge(
        silent_member(silent, "silent", "salle-belair", bit_rate{0}));
    auto message = push_with_gap(8);
    message.sender_ = {
        vm_id{"silent"}, failure_domain_id{"salle-belair"},
        region_id{"quebec-centre"}};
    message.origin_ = message.sender_.vm_;
    sender.push(receiver.settings_.control_, message);
    std::this_thread::sleep_for(100ms);
    message = push_with_gap(9);
    message.sender_ = sender.sender();
    message.origin_ = sender.record().vm_;
    sender.push(receiver.settings_.control_, message);
    cr_assert(becomes_true_within(
        800ms,
        [&receiver]
        {
            return holds(receiver, 9);
        }));
}

// Guards against a reader that waits for its next poll after a single lost call
// of the platform. A lost call is noticed only after its timeout, which takes
// most of the time that a version has.
Test(lost_step, a_lost_call_of_the_platform_is_repeated_at_once)
{
    memory_tables tables;
    scripted_source source;
    auto settings = settings_of_one(1, "reader", "salle-belair");
    // The next poll comes too late.
    settings.dissemination_.poll_interval_ = 60s;
    const control_node reader(
        settings, polled_services{tables, tables, &source});
    cr_assert(is_serving_within(5s, reader));
    source.publish(snapshot_of(8));
    cr_assert(becomes_true_within(
        1s,
        [&reader]
        {
            return holds(reader, 8);
        }));
    source.fail_once();
    std::this_thread::sleep_for(100ms);
    source.publish(snapshot_of(9));
    cr_assert(becomes_true_within(
        1s,
        [&reader]
        {
            return holds(reader, 9);
        }));
}
