#include "platform/published_configurations.hpp"

#include <array>
#include <memory>
#include <thread>

#include "hemlockshelf/core/manual_clock.hpp"
#include "platform/wire_names.hpp"
#include "platform_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;
using namespace std::chrono_literals;

namespace {

void publish(store_fixture& store, const std::string& text)
{
    store.service_.publish(wire::operator_table, wire::configuration_key, text);
}

/// Returns an empty snapshot of the revision.
std::shared_ptr<const config_snapshot> empty_snapshot(revision number)
{
    return *config_snapshot::build(number, {});
}

revision wait_for_next(published_configurations& source, revision current)
{
    const auto found = source.wait_for_newer(*empty_snapshot(current), 1s);
    return found && found->newest_ != nullptr ? found->newest_->number()
                                              : revision{};
}

} // namespace

Test(published_configurations, waits_for_the_next_one)
{
    store_fixture store;
    publish(store, configuration("r3").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    cr_assert(wait_for_next(source, {}) == revision{3});
    std::thread publisher(
        [&store]
        {
            std::this_thread::sleep_for(100ms);
            publish(store, configuration("r7").dump());
        });
    cr_assert(wait_for_next(source, revision{3}) == revision{7});
    publisher.join();
}

// Guards against replacing a configuration by an older one.
Test(published_configurations, passes_over_older_ones)
{
    store_fixture store;
    publish(store, configuration("r7").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    cr_assert(wait_for_next(source, {}) == revision{7});
    publish(store, configuration("r5").dump());
    cr_assert(wait_for_next(source, revision{7}) == revision{});
}

// Guards against an invalid configuration that hides the valid one published
// after it, and against reading the invalid one again in a loop.
Test(published_configurations, goes_on_after_one_that_cannot_be_read)
{
    store_fixture store;
    publish(store, configuration("r3").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    cr_assert(wait_for_next(source, {}) == revision{3});
    publish(store, "{\"version\":\"r4\",");
    const auto bad = source.wait_for_newer(*empty_snapshot(revision{3}), 1s);
    cr_assert(bad && bad->newest_ == nullptr);
    cr_assert(bad->rejected_.size() == 1);
    cr_assert(bad->rejected_.front().kind_ == error_kind::invalid_row);
    const auto unchanged =
        source.wait_for_newer(*empty_snapshot(revision{3}), 50ms);
    cr_assert(
        unchanged && unchanged->newest_ == nullptr &&
        unchanged->rejected_.empty());
    publish(store, configuration("r5").dump());
    cr_assert(wait_for_next(source, revision{3}) == revision{5});
}

// Guards against losing a valid configuration because the same read contains
// invalid ones before or after it. The store does not send it again.
Test(published_configurations, a_bad_one_costs_no_good_one_of_the_same_read)
{
    store_fixture store;
    store.service_.keep_each_change();
    publish(store, configuration("r3").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    cr_assert(wait_for_next(source, {}) == revision{3});
    publish(store, "{\"version\":\"r4\",");
    publish(store, configuration("r5").dump());
    publish(store, configuration("r7").dump());
    publish(store, "no document");
    publish(store, configuration("r6").dump());
    publish(store, "{\"version\":7}");
    const auto read = source.wait_for_newer(*empty_snapshot(revision{3}), 1s);
    cr_assert(read && read->newest_ != nullptr);
    cr_assert(read->newest_->number() == revision{7});
    cr_assert(read->documents_ == 6);
    cr_assert(read->rejected_.size() == 3);
}

// Guards against spending processor time on documents that newer ones have
// replaced.
Test(published_configurations, reads_only_the_last_of_many)
{
    store_fixture store;
    store.service_.keep_each_change();
    publish(store, configuration("r3").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    cr_assert(wait_for_next(source, {}) == revision{3});
    publish(store, "no document");
    for (int number = 4; number < 14; ++number)
    {
        publish(store, configuration("r" + std::to_string(number)).dump());
    }
    const auto read = source.wait_for_newer(*empty_snapshot(revision{3}), 1s);
    cr_assert(read && read->newest_ != nullptr);
    cr_assert(read->newest_->number() == revision{13});
    cr_assert(read->documents_ == 11);
    cr_assert(read->rejected_.empty());
}

// Guards against missing a configuration after the store has lost its change
// history.
Test(published_configurations, reads_the_row_when_the_history_is_gone)
{
    store_fixture store;
    publish(store, configuration("r3").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    cr_assert(wait_for_next(source, {}) == revision{3});
    publish(store, configuration("r4").dump());
    store.service_.forget_history();
    cr_assert(wait_for_next(source, revision{3}) == revision{4});
}

namespace {

/// What a store lost when it went back to an older copy, by the versions that
/// it has assigned again since.
struct lost_history
{
    const char* description_;
    /// Rows that other nodes have written again before the next poll.
    int rewritten_rows_;
};

// The reader's position is version 3; the copy has version 1.
constexpr std::array lost_histories{
    lost_history{"lower", 0},
    lost_history{"equal", 1},
    lost_history{"higher", 2},
};

/// A reader that runs r9, and the copy of the store before it was published.
struct reader_before_loss
{
    reader_before_loss()
    {
        publish(store_, configuration("r7").dump());
        copy_ = store_.service_.take_copy();
        publish(store_, configuration("r8").dump());
        publish(store_, configuration("r9").dump());
        cr_assert(wait_for_next(source_, {}) == revision{9});
    }

    /// Publishes again what was lost, and then r14.
    void write_again(const lost_history& lost)
    {
        for (int row = 0; row < lost.rewritten_rows_; ++row)
        {
            store_.service_.publish("departures", "vm-1", "{}");
        }
        publish(store_, configuration("r14").dump());
    }

    store_fixture store_;
    published_configurations source_{
        store_.target(), store_.time_, store_.metrics_};
    std::shared_ptr<const store_service::copy> copy_;
};

/// Returns whether the source returns r14 within a few polls.
bool finds_what_was_published_since(published_configurations& source)
{
    constexpr int polls = 3;
    for (int poll = 0; poll < polls; ++poll)
    {
        const auto read =
            source.wait_for_newer(*empty_snapshot(revision{9}), 200ms);
        if (read && read->newest_ != nullptr)
        {
            return read->newest_->number() == revision{14};
        }
    }
    return false;
}

} // namespace

// Guards against a configuration that never comes into force: the store came
// back from an older copy before the poll and assigned the reader's version
// again.
Test(published_configurations, a_lost_history_before_a_poll_hides_nothing)
{
    for (const auto& lost : lost_histories)
    {
        reader_before_loss reader;
        reader.store_.service_.return_to(*reader.copy_);
        reader.write_again(lost);
        cr_expect(
            finds_what_was_published_since(reader.source_), "version %s",
            lost.description_);
    }
}

// Guards against the same while a call for changes waits, whose answer is from
// the later era.
Test(published_configurations, a_lost_history_during_a_poll_hides_nothing)
{
    for (const auto& lost : lost_histories)
    {
        reader_before_loss reader;
        std::thread loss(
            [&reader, &lost]
            {
                std::this_thread::sleep_for(50ms);
                reader.store_.service_.return_to(*reader.copy_);
                reader.write_again(lost);
            });
        cr_expect(
            finds_what_was_published_since(reader.source_), "version %s",
            lost.description_);
        loss.join();
    }
}

// Guards against the same when the reader has read the row of the later era
// before anything was published again.
Test(published_configurations, a_lost_history_after_a_poll_hides_nothing)
{
    for (const auto& lost : lost_histories)
    {
        reader_before_loss reader;
        reader.store_.service_.return_to(*reader.copy_);
        const auto older =
            reader.source_.wait_for_newer(*empty_snapshot(revision{9}), 0ms);
        cr_assert(older && older->newest_ == nullptr);
        reader.write_again(lost);
        cr_expect(
            finds_what_was_published_since(reader.source_), "version %s",
            lost.description_);
    }
}

// Guards against a position in the feed that is kept over the second of two
// losses in a row.
Test(published_configurations, each_lost_history_is_noticed)
{
    reader_before_loss reader;
    for (int loss = 0; loss < 2; ++loss)
    {
        reader.store_.service_.return_to(*reader.copy_);
        publish(reader.store_, configuration("r8").dump());
        publish(reader.store_, configuration("r9").dump());
        const auto read =
            reader.source_.wait_for_newer(*empty_snapshot(revision{9}), 0ms);
        cr_assert(read && read->newest_ == nullptr);
    }
    reader.store_.service_.return_to(*reader.copy_);
    reader.write_again(lost_histories.at(1));
    cr_assert(finds_what_was_published_since(reader.source_));
}

// Guards against taking an older copy's row for proof that nothing newer was
// published, until the configuration in force or a newer one is there again.
Test(published_configurations, a_lost_configuration_is_behind_until_it_is_back)
{
    for (const char* const published_again : {"r9", "r14"})
    {
        reader_before_loss reader;
        const auto poll = [&reader]
        {
            const auto read = reader.source_.wait_for_newer(
                *empty_snapshot(revision{9}), 0ms);
            return read && read->is_behind_;
        };
        cr_assert(!poll());
        reader.store_.service_.return_to(*reader.copy_);
        cr_assert(poll());
        publish(reader.store_, configuration("r8").dump());
        cr_assert(poll());
        cr_assert(poll());
        publish(reader.store_, configuration(published_again).dump());
        cr_expect(!poll(), "%s", published_again);
    }
}

// Guards against refusals after a loss of history that the configuration has
// outlasted.
Test(published_configurations, a_copy_with_the_configuration_is_not_behind)
{
    reader_before_loss reader;
    const auto recent = reader.store_.service_.take_copy();
    reader.store_.service_.return_to(*recent);
    const auto read =
        reader.source_.wait_for_newer(*empty_snapshot(revision{9}), 0ms);
    cr_assert(read && !read->is_behind_);
}

// Guards against reading the row with each poll of a store that does not report
// its era.
Test(published_configurations, a_store_without_an_era_is_read_by_its_feed)
{
    store_fixture store;
    store.service_.hide_era();
    publish(store, configuration("r3").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    cr_assert(wait_for_next(source, {}) == revision{3});
    const auto again = source.wait_for_newer(*empty_snapshot(revision{3}), 0ms);
    cr_assert(again && again->documents_ == 0);
}

Test(published_configurations, reports_a_store_that_is_away)
{
    store_fixture store;
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    store.service_.set_fault(store_fault::down);
    const auto read = source.wait_for_newer(*empty_snapshot({}), 0ms);
    cr_assert(!read && read.error().kind_ == error_kind::platform_unavailable);
}

// Guards against reading an unchanged document again with each poll while a
// node joins.
Test(published_configurations, a_look_without_a_wait_reads_only_what_is_new)
{
    store_fixture store;
    publish(store, configuration("r3").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    const auto first = source.wait_for_newer(*empty_snapshot({}), 0ms);
    cr_assert(first && first->documents_ == 1 && first->newest_ != nullptr);
    const auto again = source.wait_for_newer(*empty_snapshot(revision{3}), 0ms);
    cr_assert(again && again->documents_ == 0);
    publish(store, configuration("r4").dump());
    const auto newer = source.wait_for_newer(*empty_snapshot(revision{3}), 0ms);
    cr_assert(newer && newer->documents_ == 1 && newer->newest_ != nullptr);
}

// Guards against reading every document that was published while the node was
// not a reader. These may be more than one call can transfer.
Test(published_configurations, reads_the_row_alone_after_a_long_time)
{
    store_fixture store;
    store.service_.keep_each_change();
    publish(store, configuration("r3").dump());
    const auto time = std::make_shared<manual_clock>();
    published_configurations source(store.target(), time, store.metrics_);
    cr_assert(wait_for_next(source, {}) == revision{3});
    publish(store, configuration("r4").dump());
    publish(store, configuration("r5").dump());
    time->advance(5min);
    const auto read = source.wait_for_newer(*empty_snapshot(revision{3}), 1s);
    cr_assert(read && read->documents_ == 1);
    cr_assert(read->newest_ && read->newest_->number() == revision{5});
}

// Guards against confirming an old configuration after a read of the row alone:
// an unusable one may have replaced a valid one that was never read.
Test(published_configurations, an_unusable_row_may_hide_a_valid_one)
{
    store_fixture store;
    publish(store, "no document");
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    const auto hidden = source.wait_for_newer(*empty_snapshot({}), 0ms);
    cr_assert(hidden && hidden->may_lack_one_);
    const auto unchanged = source.wait_for_newer(*empty_snapshot({}), 0ms);
    cr_assert(unchanged && unchanged->may_lack_one_);
    publish(store, configuration("r4").dump());
    const auto found = source.wait_for_newer(*empty_snapshot({}), 1s);
    cr_assert(found && found->newest_ && !found->may_lack_one_);
}

// Guards against a read of several documents in which each is prepared,
// although the newest one replaces the others.
Test(published_configurations, prepares_only_the_newest_of_several)
{
    store_fixture store;
    store.service_.keep_each_change();
    publish(store, configuration("r3").dump());
    published_configurations source(
        store.target(), store.time_, store.metrics_);
    cr_assert(wait_for_next(source, {}) == revision{3});
    // Only a document that is prepared is found to lack its resources.
    publish(store, "{\"version\":\"r4\"}");
    publish(store, configuration("r7").dump());
    publish(store, "{\"version\":\"r5\"}");
    const auto read = source.wait_for_newer(*empty_snapshot(revision{3}), 1s);
    cr_assert(read && read->newest_ != nullptr);
    cr_assert(read->newest_->number() == revision{7});
    cr_assert(read->documents_ == 3);
    cr_assert(read->rejected_.empty());
    publish(store, configuration("r8").dump());
    publish(store, "{\"version\":\"r9\"}");
    const auto next = source.wait_for_newer(*empty_snapshot(revision{7}), 1s);
    cr_assert(next && next->newest_ != nullptr);
    cr_assert(next->newest_->number() == revision{8});
    cr_assert(next->rejected_.size() == 1);
}
