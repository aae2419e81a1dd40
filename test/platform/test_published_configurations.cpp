#include "platform/published_configurations.hpp"

#include "hemlockshelf/core/manual_clock.hpp"
#include "platform/wire_names.hpp"
#include "platform_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;
using namespace std::chrono_literals;

namespace {

void publish(served_store& store, const std::string& text)
{
    store.service_.publish(wire::operator_table, wire::configuration_key, text);
}

/// Returns a snapshot of that revision without rows.
std::shared_ptr<const config_snapshot> held_at(revision number)
{
    return *config_snapshot::build(number, {});
}

revision next(published_configurations& source, revision held)
{
    const auto found = source.wait_for_newer(*held_at(held), 1s);
    return found && found->newest_ != nullptr ? found->newest_->number()
                                              : revision{};
}

} // namespace

Test(published_configurations, waits_for_the_next_one)
{
    served_store store;
    publish(store, configuration("r3").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    cr_assert(next(source, {}) == revision{3});
    std::thread operators(
        [&store]
        {
            std::this_thread::sleep_for(100ms);
            publish(store, configuration("r7").dump());
        });
    cr_assert(next(source, revision{3}) == revision{7});
    operators.join();
}

// Guards against a node that goes back to an older configuration.
Test(published_configurations, passes_over_older_ones)
{
    served_store store;
    publish(store, configuration("r7").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    cr_assert(next(source, {}) == revision{7});
    publish(store, configuration("r5").dump());
    cr_assert(next(source, revision{7}) == revision{});
}

// Guards against a bad configuration that hides the good one after it, and
// against a loop that reads the bad one again and again.
Test(published_configurations, goes_on_after_one_that_cannot_be_read)
{
    served_store store;
    publish(store, configuration("r3").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    cr_assert(next(source, {}) == revision{3});
    publish(store, "{\"version\":\"r4\",");
    const auto bad = source.wait_for_newer(*held_at(revision{3}), 1s);
    cr_assert(bad && bad->newest_ == nullptr);
    cr_assert(bad->rejected_.size() == 1);
    cr_assert(bad->rejected_.front().kind_ == error_kind::invalid_row);
    const auto quiet = source.wait_for_newer(*held_at(revision{3}), 50ms);
    cr_assert(quiet && quiet->newest_ == nullptr && quiet->rejected_.empty());
    publish(store, configuration("r5").dump());
    cr_assert(next(source, revision{3}) == revision{5});
}

// Guards against a good configuration that is lost because a bad one came with
// it, before or after it: the store does not send it again.
Test(published_configurations, a_bad_one_costs_no_good_one_of_the_same_read)
{
    served_store store;
    store.service_.keep_each_change();
    publish(store, configuration("r3").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    cr_assert(next(source, {}) == revision{3});
    publish(store, "{\"version\":\"r4\",");
    publish(store, configuration("r5").dump());
    publish(store, configuration("r7").dump());
    publish(store, "no document");
    publish(store, configuration("r6").dump());
    publish(store, "{\"version\":7}");
    const auto read = source.wait_for_newer(*held_at(revision{3}), 1s);
    cr_assert(read && read->newest_ != nullptr);
    cr_assert(read->newest_->number() == revision{7});
    cr_assert(read->documents_ == 6);
    cr_assert(read->rejected_.size() == 3);
}

// Guards against a reader that spends its processor time on documents that
// newer ones have replaced.
Test(published_configurations, reads_only_the_last_of_many)
{
    served_store store;
    store.service_.keep_each_change();
    publish(store, configuration("r3").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    cr_assert(next(source, {}) == revision{3});
    publish(store, "no document");
    for (int number = 4; number < 14; ++number)
    {
        publish(store, configuration("r" + std::to_string(number)).dump());
    }
    const auto read = source.wait_for_newer(*held_at(revision{3}), 1s);
    cr_assert(read && read->newest_ != nullptr);
    cr_assert(read->newest_->number() == revision{13});
    cr_assert(read->documents_ == 11);
    cr_assert(read->rejected_.empty());
}

// Guards against a node that misses a configuration because the store has
// forgotten its history.
Test(published_configurations, reads_the_row_when_the_history_is_gone)
{
    served_store store;
    publish(store, configuration("r3").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    cr_assert(next(source, {}) == revision{3});
    publish(store, configuration("r4").dump());
    store.service_.forget_history();
    cr_assert(next(source, revision{3}) == revision{4});
}

Test(published_configurations, reports_a_store_that_is_away)
{
    served_store store;
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    store.service_.set_fault(store_fault::down);
    const auto away = source.wait_for_newer(*held_at({}), 0ms);
    cr_assert(!away && away.error().kind_ == error_kind::platform_unavailable);
}

// Guards against a node that joins and reads the same document with each look
// at the store.
Test(published_configurations, a_look_without_a_wait_reads_only_what_is_new)
{
    served_store store;
    publish(store, configuration("r3").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    const auto first = source.wait_for_newer(*held_at({}), 0ms);
    cr_assert(first && first->documents_ == 1 && first->newest_ != nullptr);
    const auto again = source.wait_for_newer(*held_at(revision{3}), 0ms);
    cr_assert(again && again->documents_ == 0);
    publish(store, configuration("r4").dump());
    const auto newer = source.wait_for_newer(*held_at(revision{3}), 0ms);
    cr_assert(newer && newer->documents_ == 1 && newer->newest_ != nullptr);
}

// Guards against a node that becomes a reader after a long time and is sent
// every document of that time, which may be more than a call can carry.
Test(published_configurations, reads_the_row_alone_after_a_long_time)
{
    served_store store;
    store.service_.keep_each_change();
    publish(store, configuration("r3").dump());
    const auto time = std::make_shared<manual_clock>();
    published_configurations source(store.target(), time, store.metrics_);
    cr_assert(next(source, {}) == revision{3});
    publish(store, configuration("r4").dump());
    publish(store, configuration("r5").dump());
    time->advance(5min);
    const auto read = source.wait_for_newer(*held_at(revision{3}), 1s);
    cr_assert(read && read->documents_ == 1);
    cr_assert(read->newest_ && read->newest_->number() == revision{5});
}
