#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "adapters/rpc/config_payload.hpp"
#include "test/node/control_node.hpp"
#include "test/node/one_pool.hpp"
#include "test/node/scripted_peer.hpp"
#include "test/node/scripted_source.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

accepted_delta delta_between(std::uint64_t from, std::uint64_t to)
{
    return {
        {revision{to},
         {pool_change(to)},
         snapshot_of(to)->tables().hash_,
         revision{from}},
        {}};
}

/// Returns a push of the delta between two revisions.
push_message
push_between(const scripted_peer& sender, std::uint64_t from, std::uint64_t to)
{
    push_message message;
    message.sender_ = sender.sender();
    message.origin_ = sender.record().vm_;
    message.duty_ = {push_scope::domain, to, {}};
    message.revision_ = revision{to};
    message.deltas_ = encode_deltas({delta_between(from, to)});
    return message;
}

bool reaches_revision_within(
    std::chrono::milliseconds time,
    const control_node& node,
    std::uint64_t number)
{
    return becomes_true_within(
        time,
        [&]
        {
            return node.snapshots_.current()->number() == revision{number};
        });
}

/// A push that is forwarded by a node other than its origin and whose delta
/// does not follow the revision of its receiver.
struct push_with_gap
{
    push_with_gap()
    {
        cr_assert(is_serving_within(5s, receiver_));
        receiver_.members_.merge(sender_.record());
        receiver_.members_.merge(origin_.record());
    }

    void send()
    {
        auto message = push_between(sender_, 7, 9);
        message.origin_ = origin_.record().vm_;
        sender_.push(receiver_.settings_.control_, message);
    }

    memory_tables tables_;
    control_node receiver_{
        settings_of_one(1, "taker", "salle-belair"), tables_};
    scripted_peer sender_{settings_of_one(2, "sender", "salle-belair")};
    scripted_peer origin_{settings_of_one(3, "origin", "salle-belair")};
};

} // namespace

// Guards against a node that keeps an old revision until a digest repairs it.
// The sender of a push forwards it even if it lacks the same revision, so that
// only the origin can send what is missing.
Test(publication, a_taker_fetches_from_the_origin_what_the_sender_lacks)
{
    push_with_gap push;
    push.origin_.set_fetch_answer(
        {config_answer_kind::snapshot, encode_snapshot(*snapshot_of(9)), {}});
    push.send();
    cr_assert(reaches_revision_within(2s, push.receiver_, 9));
    cr_assert(push.sender_.fetches().size() == 1);
    cr_assert(push.origin_.fetches().size() == 1);
}

// Guards against every receiver of a push querying its origin although the
// sender has what is missing.
Test(publication, a_taker_asks_the_sender_first)
{
    push_with_gap push;
    push.sender_.set_fetch_answer(
        {config_answer_kind::snapshot, encode_snapshot(*snapshot_of(9)), {}});
    push.send();
    cr_assert(reaches_revision_within(2s, push.receiver_, 9));
    cr_assert(push.origin_.fetches().empty());
}

// Guards against a failure domain that keeps an old revision because its
// readers do not answer and offers from other domains go only to them. The
// order in which the members of a domain are tried is random, so the test uses
// several domains.
Test(publication, an_offer_reaches_a_domain_whose_readers_are_silent)
{
    constexpr std::uint16_t domains = 4;
    memory_tables tables;
    scripted_source source;
    auto reader_settings = settings_of_one(1, "reader", "salle-belair");
    // Preferred as a reader over the members of the other domains.
    reader_settings.link_ = bit_rate{2000};
    control_node reader(
        reader_settings, polled_services{tables, tables, &source});
    const silent_server silent({unique_address(1).address_, 17100});
    std::vector<std::unique_ptr<scripted_peer>> responders;
    cr_assert(is_serving_within(5s, reader));
    for (std::uint16_t domain = 1; domain <= domains; ++domain)
    {
        const auto suffix = std::to_string(domain);
        responders.push_back(std::make_unique<scripted_peer>(settings_of_one(
            1 + domain, "answering-" + suffix, "salle-" + suffix)));
        reader.members_.merge(responders.back()->record());
        for (const auto* name : {"first-", "second-"})
        {
            auto record = responders.back()->record();
            record.vm_ = vm_id{name + suffix};
            record.control_address_ = to_string(silent.endpoint_);
            record.link_ = bit_rate{1000};
            reader.members_.merge(record);
        }
    }
    source.publish(snapshot_of(9));
    for (const auto& peer : responders)
    {
        // Each node that does not answer costs a deadline of 800 ms.
        cr_assert(becomes_true_within(
            4s,
            [&]
            {
                return std::ranges::any_of(
                    peer->pushes(),
                    [](const push_message& message)
                    {
                        return message.revision_ == revision{9} &&
                               !message.deltas_.empty();
                    });
            }));
        const auto pushes = peer->pushes();
        const auto offer =
            std::ranges::find(pushes, revision{9}, &push_message::revision_);
        cr_assert(
            offer->deltas_.empty(), "the delta was sent without an offer");
    }
}

// Guards against a node that others choose as their reader although it lost the
// platform while it joined, because its record does not say so.
Test(publication, a_node_that_joins_without_the_platform_says_so)
{
    memory_tables tables;
    scripted_source steady;
    scripted_source failing;
    failing.set_answers(false);
    auto peer_settings = settings_of_one(1, "peer", "salle-belair");
    peer_settings.link_ = bit_rate{200};
    peer_settings.dissemination_.readers_per_domain_ = 1;
    peer_settings.dissemination_.publication_readers_ = 1;
    control_node peer(peer_settings, polled_services{tables, tables, &steady});
    cr_assert(is_serving_within(5s, peer));
    auto settings = settings_of_one(2, "joining", "salle-belair");
    settings.peers_ = {peer_settings.control_};
    // Preferred as a reader: the others do not read while they join.
    settings.link_ = bit_rate{300};
    settings.dissemination_.readers_per_domain_ = 1;
    settings.dissemination_.publication_readers_ = 1;
    // One poll ends before the join does, and the next one is long after it.
    settings.dissemination_.poll_interval_ = 60s;
    settings.membership_.join_timeout_ = 1s;
    const control_node joining(
        settings, polled_services{tables, tables, &failing});
    cr_assert(is_serving_within(5s, joining));
    cr_assert(becomes_true_within(
        2s,
        [&]
        {
            const auto entry = peer.members_.find(settings.vm_);
            return entry && entry->record_.platform_lost_;
        }));
}

// Guards against a record that keeps the state from the join after the platform
// has stopped answering.
Test(publication, a_reader_that_loses_the_platform_later_says_so)
{
    memory_tables tables;
    scripted_source steady;
    scripted_source failing;
    control_node peer(
        settings_of_one(1, "peer", "salle-belair"),
        polled_services{tables, tables, &steady});
    cr_assert(is_serving_within(5s, peer));
    auto settings = settings_of_one(2, "joining", "salle-belair");
    settings.peers_ = {peer.settings_.control_};
    const control_node joined(
        settings, polled_services{tables, tables, &failing});
    cr_assert(is_serving_within(5s, joined));
    const auto is_lost = [&]
    {
        const auto entry = peer.members_.find(settings.vm_);
        return entry && entry->record_.platform_lost_;
    };
    cr_assert_not(is_lost());
    failing.set_answers(false);
    cr_assert(becomes_true_within(2s, is_lost));
}

namespace {

/// Nodes of a failure domain without a reader, and a reader in another one that
/// pushes nothing.
struct unpushed_domain
{
    explicit unpushed_domain(std::uint16_t count)
    {
        // A node without a configuration asks other members for one.
        source_.publish(snapshot_of(1));
        for (std::uint16_t number = 1; number <= count; ++number)
        {
            auto settings = settings_of_one(
                number, fmt::format("vm-{}", number), "salle-bourg");
            settings.dissemination_.publication_readers_ = 1;
            // Only the watch of the reader finds the revision in time.
            settings.dissemination_.cross_domain_interval_ = 1h;
            settings.dissemination_.repair_interval_ = 1h;
            if (number > 1)
            {
                settings.peers_ = {nodes_.front()->settings_.control_};
            }
            nodes_.push_back(std::make_unique<control_node>(
                settings, polled_services{tables_, tables_, &source_}));
            cr_assert(is_serving_within(5s, *nodes_.back()));
            cr_assert(reaches_revision_within(2s, *nodes_.back(), 1));
        }
        for (const auto& node : nodes_)
        {
            node->members_.merge(reader_.record());
        }
        // The contacts of nodes that have just joined would find it too.
        std::this_thread::sleep_for(3500ms);
        reader_.set_fetch_answer(
            {config_answer_kind::deltas,
             encode_deltas({delta_between(1, 9)}),
             {}});
        reader_.set_revision(revision{9});
    }

    static node_settings reader_settings()
    {
        auto settings = settings_of_one(50, "reader", "salle-belair");
        settings.link_ = bit_rate{1000};
        return settings;
    }

    memory_tables tables_;
    scripted_source source_;
    scripted_peer reader_{reader_settings()};
    std::vector<std::unique_ptr<control_node>> nodes_;
};

} // namespace

// Guards against a failure domain that keeps an old revision because the push
// to it was lost. Contacts of other domains come only every few seconds.
Test(publication, a_domain_that_no_push_reaches_asks_a_reader)
{
    const unpushed_domain domain(1);
    cr_assert(reaches_revision_within(1500ms, *domain.nodes_.front(), 9));
}

// Guards against every node of a failure domain asking a reader, and against
// nodes that wait for their neighbours' repairs one after the other.
Test(publication, what_a_domain_lacked_is_pushed_within_it)
{
    constexpr std::uint16_t count = 5;
    unpushed_domain domain(count);
    std::size_t pushed = 0;
    for (const auto& node : domain.nodes_)
    {
        cr_assert(reaches_revision_within(2s, *node, 9));
        const auto metrics = node->metrics_.to_text();
        pushed += metrics.find("config_applies_total{source=\"push\"} 1") !=
                          std::string::npos
                      ? 1
                      : 0;
    }
    cr_assert(pushed >= count - 2, "%zu of %d", pushed, count);
    cr_assert(domain.reader_.fetches().size() <= 2);
}

// Guards against a push that is sent to further nodes because its receiver
// applies a large delta before it answers. On machines with a tenth of a core,
// 1,120 new routes took longer than the sender waits, and each repetition cost
// its receiver as much again.
Test(publication, a_push_is_answered_before_it_is_applied)
{
    memory_tables tables;
    const control_node receiver(
        settings_of_one(1, "taker", "salle-belair"), tables);
    cr_assert(is_serving_within(5s, receiver));
    scripted_peer sender(settings_of_one(2, "sender", "salle-belair"));
    sender.push(receiver.settings_.control_, push_between(sender, 0, 9));
    cr_assert(reaches_revision_within(2s, receiver, 9));
    cr_assert(becomes_true_within(
        1s,
        [&sender]
        {
            return sender.answers().size() == 1;
        }));
    cr_assert(sender.answers().front() == revision{0});
}

// Guards against a failure domain that keeps an old revision because the
// readers are cut off from it, although it reaches the platform. Its nodes hear
// of each other, so that none of them counts as isolated.
Test(publication, a_domain_that_reaches_no_reader_reads_the_platform)
{
    memory_tables tables;
    scripted_source source;
    const silent_server silent({unique_address(1).address_, 17100});
    std::vector<std::unique_ptr<control_node>> nodes;
    for (std::uint16_t number = 1; number <= 2; ++number)
    {
        auto settings = settings_of_one(
            number, fmt::format("vm-{}", number), "salle-bourg");
        settings.dissemination_.publication_readers_ = 1;
        // Only the silence of the readers tells that they cannot be reached.
        settings.membership_.unreachable_after_ = 1000;
        if (number > 1)
        {
            settings.peers_ = {nodes.front()->settings_.control_};
        }
        nodes.push_back(std::make_unique<control_node>(
            settings, polled_services{tables, tables, &source}));
        cr_assert(is_serving_within(5s, *nodes.back()));
    }
    for (const auto& node : nodes)
    {
        for (const auto* name : {"first", "second"})
        {
            member_record reader;
            reader.vm_ = vm_id{name};
            reader.failure_domain_ = failure_domain_id{"salle-belair"};
            reader.region_ = region_id{"quebec-centre"};
            reader.control_address_ = to_string(silent.endpoint_);
            reader.incarnation_ = incarnation{1};
            reader.link_ = bit_rate{1000};
            node->members_.merge(reader);
        }
    }
    std::this_thread::sleep_for(1s);
    source.publish(snapshot_of(9));
    for (const auto& node : nodes)
    {
        cr_assert(reaches_revision_within(4s, *node, 9));
    }
}
