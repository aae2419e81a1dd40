#include "platform/store_client.hpp"

#include <fmt/format.h>

#include "hemlockshelf/editing/platform_tables.hpp"
#include "node/directory.hpp"
#include "platform_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;
using namespace std::chrono_literals;

Test(store_client, keeps_rows_and_checks_versions)
{
    store_fixture store;
    store_client client(store.target(), store.metrics_);
    const nlohmann::json value{{"control", "10.1.0.8:1"}};
    cr_assert(client.commit({{{"t", "a/b", {}}}, {{"t", "a/b", value}}}));
    const auto row = client.read("t", "a/b");
    cr_assert(row && row->has_value() && (*row)->value_ == value);
    const auto again =
        client.commit({{{"t", "a/b", {}}}, {{"t", "a/b", value}}});
    cr_assert(!again && again.error().kind_ == error_kind::conflict);
    cr_assert(client.commit(
        {{{"t", "a/b", (*row)->version_}}, {{"t", "a/b", nullptr}}}));
    cr_assert(!client.read("t", "a/b")->has_value());
}

// Guards against a scan that returns the key after which it starts, or rows
// outside of its prefix.
Test(store_client, scans_a_range)
{
    store_fixture store;
    store_client client(store.target(), store.metrics_);
    for (const auto* key : {"a/1", "a/2", "a/3", "b/1"})
    {
        cr_assert(client.commit({{}, {{"t", key, 1}}}));
    }
    store.service_.publish("t", "a/4", "not JSON");
    const auto rows = client.scan({"t", "a/1", "a/", 100});
    cr_assert(rows && rows->size() == 2);
    cr_assert(rows->front().key_ == "a/2" && rows->back().key_ == "a/3");
}

// Guards against a row of another writer that cannot be overwritten, because it
// counts as absent.
Test(store_client, a_row_that_is_not_json_has_a_version)
{
    store_fixture store;
    store_client client(store.target(), store.metrics_);
    store.service_.publish("t", "k", "not JSON");
    const auto row = client.read("t", "k");
    cr_assert(row && row->has_value() && (*row)->value_.is_null());
    cr_assert(client.commit({{{"t", "k", (*row)->version_}}, {{"t", "k", 1}}}));
    cr_assert((*client.read("t", "k"))->value_ == 1);
}

// Guards against reporting a write as failed although the store may have
// committed it before its response was lost.
Test(store_client, tells_refusals_from_lost_answers)
{
    store_fixture store;
    store_client client(store.target(), store.metrics_);
    const transaction writes{{}, {{"t", "k", 1}}};
    store.service_.set_fault(store_fault::down);
    cr_assert(
        client.commit(writes).error().kind_ ==
        error_kind::platform_unavailable);
    store.service_.set_fault(store_fault::busy);
    cr_assert(client.commit(writes).error().kind_ == error_kind::rate_limited);
    cr_assert(client.retry_after() == 250ms);
    store.service_.set_fault(store_fault::lose_answers);
    cr_assert(
        client.commit(writes).error().kind_ == error_kind::outcome_unknown);
    cr_assert(
        client.read("t", "k").error().kind_ ==
        error_kind::platform_unavailable);
    store.service_.set_fault(store_fault::none);
    cr_assert(client.read("t", "k")->has_value());
}

Test(store_client, keeps_objects_whose_names_hold_slashes)
{
    store_fixture store;
    store_client client(store.target(), store.metrics_);
    cr_assert(client.put("snapshots/1", "bytes"));
    cr_assert(*client.get("snapshots/1") == "bytes");
    cr_assert(client.remove("snapshots/1"));
    cr_assert(!client.get("snapshots/1")->has_value());
}

// Guards against a shutdown that waits for a call in progress.
Test(store_client, cancel_ends_a_wait, .timeout = 20)
{
    store_fixture store;
    store_client client(store.target(), store.metrics_);
    std::thread canceller(
        [&client]
        {
            std::this_thread::sleep_for(200ms);
            client.cancel();
        });
    const auto started = std::chrono::steady_clock::now();
    cr_assert(!client.changes_after("op", 0, 10s));
    cr_assert(std::chrono::steady_clock::now() - started < 5s);
    canceller.join();
    cr_assert(!client.read("t", "k"));
}

// Guards against a stand-in that still responds to a silenced client, also to a
// call that was waiting, or that silences other clients as well.
Test(store_client, the_stand_in_silences_single_clients)
{
    store_fixture store;
    auto target = store.target();
    target.timeout_ = 300ms;
    target.source_address_ = "127.0.0.2";
    store_client silenced(target, store.metrics_);
    target.source_address_ = "127.0.0.3";
    store_client other(target, store.metrics_);
    std::thread publisher(
        [&store]
        {
            std::this_thread::sleep_for(100ms);
            store.service_.silence({"127.0.0.2"});
            store.service_.publish("t", "k", "value");
        });
    cr_assert(!silenced.changes_after("t", 0, 500ms));
    publisher.join();
    cr_assert(!silenced.read_raw("t", "k"));
    cr_assert(other.read_raw("t", "k"));
    store.service_.silence({});
    cr_assert(silenced.read_raw("t", "k"));
}

// Guards against counting rows for the wrong client or table, or for a response
// that was not sent.
Test(store_client, the_stand_in_counts_what_each_client_was_sent)
{
    store_fixture store;
    auto target = store.target();
    target.source_address_ = "127.0.0.2";
    store_client client(target, store.metrics_);
    store.service_.publish("t", "k", "value");
    cr_assert(client.read_raw("t", "k"));
    cr_assert(client.changes_after("t", 0, 100ms));
    cr_assert(client.read_raw("u", "k"));
    store.service_.set_fault(store_fault::lose_answers);
    cr_assert(!client.read_raw("t", "k"));
    const auto traffic = store.service_.traffic();
    cr_assert_eq(traffic.size(), 1);
    const auto& sent = traffic.at("127.0.0.2");
    cr_assert(sent.rows_.size() == 1 && sent.rows_.at("t") == 2);
    cr_assert(sent.bytes_ > 0);
}

namespace {

/// Values that another writer may leave in a table.
std::vector<std::string> odd_values()
{
    constexpr std::size_t max_row_bytes = 65'536;
    return {
        std::string(max_row_bytes, '['),
        std::string(max_row_bytes, '{'),
        R"({"vm":"x","control":"10.1.0.8:99999"})",
        R"({"vm":"x","control":"10.1.0.8:-1"})",
        R"({"vm":"x","control":"10.1.0.8:1e400"})",
        R"({"vm":"x","control":1e400})",
        R"({"vm":18446744073709551616,"control":"10.1.0.8:1"})",
        R"({"vm":["x"],"control":{"a":1}})",
        R"({"vm":"x","control":"10.1.0.8:1"}})",
        "{\"vm\":\"\xff\",\"control\":\"10.1.0.8:1\"}",
        R"("10.1.0.8:1")",
        "null",
        "",
        std::string(max_row_bytes, '\0')};
}

} // namespace

// Guards against one odd entry that ends the process of each reader of the
// directory, or hides the entries around it.
Test(store_client, odd_directory_rows_leave_their_neighbours_in_use)
{
    store_fixture store;
    store_client client(store.target(), store.metrics_);
    const directory_row first{
        failure_domain_id{"a"}, vm_id{"first"}, {"10.1.0.8", 1}};
    const directory_row last{
        failure_domain_id{"z"}, vm_id{"last"}, {"10.1.0.9", 2}};
    cr_assert(write_directory_row(client, first));
    std::size_t number = 0;
    for (const auto& value : odd_values())
    {
        store.service_.publish(
            platform_tables::directory, fmt::format("m/{}", ++number), value);
    }
    cr_assert(write_directory_row(client, last));
    const auto rows = read_directory(client);
    cr_assert(rows);
    cr_assert(*rows == std::vector<directory_row>({first, last}));
}

// Guards against rows that are never read because the store ends a page before
// them: at 500 rows, or at 1 MB, which 16 large rows of another writer fill.
Test(store_client, a_scan_continues_where_the_store_ends_a_page)
{
    constexpr std::size_t odd_rows = 40;
    constexpr std::size_t rows_of_nodes = 700;
    store_fixture store;
    store_client client(store.target(), store.metrics_);
    for (std::size_t number = 0; number < odd_rows; ++number)
    {
        store.service_.publish(
            platform_tables::directory, fmt::format("a/{}", number),
            std::string(65'536, '['));
    }
    for (std::size_t number = 0; number < rows_of_nodes; ++number)
    {
        store.service_.publish(
            platform_tables::directory, fmt::format("b/{}", number),
            fmt::format(R"({{"vm":"vm-{}","control":"10.1.0.8:1"}})", number));
    }
    const auto rows = read_directory(client);
    cr_assert(rows && rows->size() == rows_of_nodes);
}
