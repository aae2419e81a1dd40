#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
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

/// Returns the settings of a node with its own port. All nodes share a failure
/// domain that has one reader.
node_settings
settings_in_domain(std::uint16_t number, const std::string& vm, bit_rate link)
{
    auto settings = settings_of_one(number, vm, "salle-belair");
    settings.link_ = link;
    settings.dissemination_.readers_per_domain_ = 1;
    settings.dissemination_.publication_readers_ = 1;
    return settings;
}

bool has_revision(const control_node& node, std::uint64_t number)
{
    return node.snapshots_.current()->number() == revision{number};
}

/// Nodes of one failure domain that know each other.
class domain_nodes
{
public:
    explicit domain_nodes(std::uint16_t count)
    {
        for (std::uint16_t number = 1; number <= count; ++number)
        {
            auto settings = settings_in_domain(
                number, fmt::format("vm-{}", number), bit_rate{100});
            if (number > 1)
            {
                settings.peers_ = {nodes_.front()->settings_.control_};
            }
            nodes_.push_back(std::make_unique<control_node>(settings, tables_));
        }
    }

    [[nodiscard]] bool know_each_other() const
    {
        return std::ranges::all_of(
            nodes_,
            [this](const auto& node)
            {
                return is_serving(*node) &&
                       node->members_.size() >= nodes_.size();
            });
    }

    [[nodiscard]] bool have_revision(std::uint64_t number) const
    {
        return std::ranges::all_of(
            nodes_,
            [number](const auto& node)
            {
                return has_revision(*node, number);
            });
    }

    control_node& first()
    {
        return *nodes_.front();
    }

private:
    memory_tables tables_;
    std::vector<std::unique_ptr<control_node>> nodes_;
};

} // namespace

// Guards against a reader whose push has no receivers, so that the other nodes
// of its failure domain detect the revision by a repair and fetch a whole
// snapshot from the reader.
Test(domain_push, what_a_reader_reads_reaches_its_domain_by_push)
{
    constexpr std::uint64_t number = 9;
    memory_tables tables;
    scripted_source source;
    const auto settings = settings_in_domain(1, "reader", bit_rate{200});
    const control_node reader(
        settings, polled_services{tables, tables, &source});
    cr_assert(is_serving_within(5s, reader));
    auto receiver_settings = settings_in_domain(2, "taker", bit_rate{100});
    receiver_settings.peers_ = {settings.control_};
    const control_node receiver(receiver_settings, tables);
    cr_assert(is_serving_within(5s, receiver));
    source.publish(snapshot_of(number));
    cr_assert(becomes_true_within(
        2s,
        [&receiver]
        {
            return has_revision(receiver, number);
        }));
    const auto metrics = receiver.metrics_.to_text();
    cr_assert(
        metrics.find("config_applies_total{source=\"push\"} 1") !=
        std::string::npos);
}

// Guards against a push that no receiver can apply, so that all of them fetch
// from its origin, which serves a few snapshots a second. In a failure domain
// of 100 nodes the last one waited 16 s. A receiver fetches what is missing
// before it forwards the push, and its children fetch from it.
Test(domain_push, receivers_that_lack_the_base_fetch_along_the_tree)
{
    constexpr std::uint16_t count = 20;
    domain_nodes nodes(count);
    cr_assert(becomes_true_within(
        20s,
        [&nodes]
        {
            return nodes.know_each_other();
        }));
    scripted_peer origin(
        settings_in_domain(count + 1, "origin", bit_rate{100}));
    origin.set_fetch_answer(
        {config_answer_kind::snapshot, encode_snapshot(*snapshot_of(9)), {}});
    nodes.first().members_.merge(origin.record());
    push_message message;
    message.sender_ = origin.sender();
    message.origin_ = origin.record().vm_;
    message.duty_ = start_push(push_scope::domain, origin.record().vm_, 1);
    message.revision_ = revision{9};
    message.deltas_ = encode_deltas(
        {{{revision{9},
           {pool_change(9)},
           snapshot_of(9)->tables().hash_,
           revision{7}},
          {}}});
    origin.push(nodes.first().settings_.control_, message);
    cr_assert(becomes_true_within(
        3s,
        [&nodes]
        {
            return nodes.have_revision(9);
        }));
    cr_assert(
        origin.fetches().size() == 1, "%zu fetches", origin.fetches().size());
}
