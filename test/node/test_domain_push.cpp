#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "hemlockshelf/config/table_changes.hpp"
#include "test/node/control_node.hpp"
#include "test/node/scripted_source.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

/// Returns the settings of a node with its own port. All nodes share a failure
/// domain that has one reader.
node_settings
settings_of_one(std::uint16_t number, const std::string& vm, bit_rate link)
{
    auto control = unique_address(1);
    control.port_ = static_cast<std::uint16_t>(control.port_ + number);
    auto settings = settings_at(control, vm, "salle-belair");
    settings.link_ = link;
    settings.dissemination_.readers_per_domain_ = 1;
    return settings;
}

std::shared_ptr<const config_snapshot> snapshot_of(std::uint64_t number)
{
    config_tables tables;
    apply_change(
        tables, {table_id::pools, row_key{"regie/catalogue"},
                 pool_row{
                     service_name{"catalogue"},
                     {},
                     false,
                     static_cast<std::uint32_t>(number)}});
    return *config_snapshot::build(revision{number}, tables);
}

} // namespace

// Guards against a reader whose push has no receivers, so that the other nodes
// of its failure domain detect the revision by a repair and fetch a whole
// snapshot from the reader.
Test(domain_push, what_a_reader_reads_reaches_its_domain_by_push)
{
    constexpr std::uint64_t number = 9;
    memory_tables tables;
    scripted_source source;
    const auto settings = settings_of_one(1, "reader", bit_rate{200});
    const control_node reader(
        settings, polled_services{tables, tables, &source});
    cr_assert(is_serving_within(5s, reader));
    auto receiver_settings = settings_of_one(2, "taker", bit_rate{100});
    receiver_settings.peers_ = {settings.control_};
    const control_node receiver(receiver_settings, tables);
    cr_assert(is_serving_within(5s, receiver));
    source.publish(snapshot_of(number));
    cr_assert(becomes_true_within(
        2s,
        [&receiver]
        {
            return receiver.snapshots_.current()->number() == revision{number};
        }));
    const auto metrics = receiver.metrics_.to_text();
    cr_assert(
        metrics.find("config_applies_total{source=\"push\"} 1") !=
        std::string::npos);
}
