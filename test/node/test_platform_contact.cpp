#include "node/platform_contact.hpp"

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include <rapidcheck.h>

#include "test/node/control_node.hpp"
#include "test/node/scripted_source.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

// Time within which a node must report a stable platform as reachable again.
constexpr std::chrono::seconds recovery_limit{9};

constexpr int flaps = 20;

node_settings settings_with_link(int host, std::uint64_t bits_per_second)
{
    auto settings = settings_of(host, "salle-belair");
    settings.link_ = bit_rate{bits_per_second};
    settings.dissemination_.readers_per_domain_ = 1;
    settings.dissemination_.publication_readers_ = 1;
    settings.dissemination_.poll_interval_ = 20ms;
    return settings;
}

member_record record_of(const control_node& node)
{
    return node.members_.find(node.settings_.vm_)->record_;
}

/// Lets the source fail and answer alternately, ending with a failure.
void flap(scripted_source& source)
{
    for (int turn = 0; turn < flaps; ++turn)
    {
        source.set_answers(false);
        std::this_thread::sleep_for(40ms);
        source.set_answers(true);
        std::this_thread::sleep_for(40ms);
    }
    source.set_answers(false);
}

std::shared_ptr<const config_snapshot>
revision_of_one_pool(std::uint64_t number)
{
    config_tables tables;
    apply_change(
        tables, {table_id::pools, row_key{"regie/catalogue"},
                 pool_row{service_name{"catalogue"}, {}, false, 100}});
    return *config_snapshot::build(revision{number}, tables);
}

} // namespace

// Guards against choosing a node as a reader while it cannot read, or again
// after a single answer.
Test(platform_contact, a_loss_counts_at_once_and_a_return_after_a_time)
{
    const steady_time start{1h};
    platform_contact contact;
    record_poll(contact, true, start);
    cr_assert_not(contact.lost_);
    record_poll(contact, false, start);
    cr_assert(contact.lost_);
    record_poll(contact, true, start + 1s);
    record_poll(contact, true, start + 1s + platform_recovery_time - 1ms);
    cr_assert(contact.lost_);
    record_poll(contact, true, start + 1s + platform_recovery_time);
    cr_assert_not(contact.lost_);
    record_poll(contact, false, start + 2s + platform_recovery_time);
    cr_assert(contact.lost_);
}

// Guards against failures between answers that do not delay the recovery.
Test(platform_contact, a_failure_begins_the_time_anew)
{
    const steady_time start{1h};
    platform_contact contact;
    record_poll(contact, false, start);
    record_poll(contact, true, start);
    record_poll(contact, false, start + platform_recovery_time - 1s);
    record_poll(contact, true, start + platform_recovery_time);
    cr_assert(contact.lost_);
    record_poll(contact, true, start + 2 * platform_recovery_time);
    cr_assert_not(contact.lost_);
}

// Guards against polls that change a record more than once in each direction
// within the recovery time, whatever their outcomes.
Test(platform_contact, any_polls_change_it_at_most_once_each_way_in_the_time)
{
    cr_assert(rc::check(
        []
        {
            steady_time now{1h};
            platform_contact contact;
            std::map<bool, steady_time> last_change;
            const auto polls = *rc::gen::container<std::vector<int>>(
                rc::gen::inRange(-3000, 3000));
            for (const auto poll : polls)
            {
                now += std::chrono::milliseconds{std::abs(poll)};
                const bool before = contact.lost_;
                record_poll(contact, poll >= 0, now);
                RC_ASSERT(poll >= 0 || contact.lost_);
                if (contact.lost_ == before)
                {
                    continue;
                }
                const auto last = last_change.find(contact.lost_);
                RC_ASSERT(
                    last == last_change.end() ||
                    now - last->second >= platform_recovery_time);
                last_change[contact.lost_] = now;
            }
        }));
}

// Guards against a record that is pushed to every node again and again while
// the platform answers intermittently.
Test(platform_contact, a_flapping_platform_changes_the_record_once)
{
    memory_tables tables;
    scripted_source source;
    const control_node node(
        settings_with_link(1, 100), polled_services{tables, tables, &source});
    cr_assert(is_serving_within(5s, node));
    const auto before = record_of(node).sequence_.value();
    flap(source);
    cr_assert(becomes_true_within(
        1s,
        [&]
        {
            return record_of(node).platform_lost_;
        }));
    const auto changes = record_of(node).sequence_.value() - before;
    cr_assert(changes == 1, "%lu changes", changes);
}

// Guards against a failure domain that receives no configurations because its
// only node waits for a stable platform before it reads.
Test(platform_contact, the_only_reader_reads_a_flapping_platform)
{
    memory_tables tables;
    scripted_source source;
    const control_node node(
        settings_with_link(1, 100), polled_services{tables, tables, &source});
    cr_assert(is_serving_within(5s, node));
    flap(source);
    source.publish(revision_of_one_pool(5));
    source.set_answers(true);
    cr_assert(becomes_true_within(
        500ms,
        [&]
        {
            return node.snapshots_.current()->number() == revision{5};
        }));
}

// Guards against a node that stops polling while its record says that it has
// lost the platform, so that it never becomes a reader again.
Test(platform_contact, a_replaced_reader_takes_its_duty_back)
{
    memory_tables tables;
    scripted_source flapping;
    scripted_source steady;
    const control_node first(
        settings_with_link(1, 200), polled_services{tables, tables, &flapping});
    cr_assert(is_serving_within(5s, first));
    auto settings = settings_with_link(2, 100);
    settings.peers_ = {first.settings_.control_};
    const control_node second(
        settings, polled_services{tables, tables, &steady});
    cr_assert(is_serving_within(5s, second));
    flap(flapping);
    steady.publish(revision_of_one_pool(5));
    cr_assert(becomes_true_within(
        3s,
        [&]
        {
            return first.snapshots_.current()->number() == revision{5};
        }));
    cr_assert(record_of(first).platform_lost_);
    flapping.set_answers(true);
    cr_assert(becomes_true_within(
        recovery_limit,
        [&]
        {
            return !record_of(first).platform_lost_;
        }));
    flapping.publish(revision_of_one_pool(6));
    cr_assert(becomes_true_within(
        3s,
        [&]
        {
            return second.snapshots_.current()->number() == revision{6};
        }));
}
