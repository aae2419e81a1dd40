#include <atomic>
#include <chrono>
#include <memory>
#include <thread>

#include "hemlockshelf/accounts/key_hash.hpp"
#include "node/directory.hpp"
#include "test/node/control_node.hpp"
#include "test/node/one_pool.hpp"
#include "test/node/scripted_peer.hpp"
#include "test/node/scripted_source.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

/// Longer than the time after its start in which a node lends no share of a
/// quota, and two questions for it.
constexpr std::chrono::milliseconds sharing_begins{3200};

const client_account_id account{"mesh/observatory"};
constexpr account_quota quota{100, 100};

std::shared_ptr<const config_snapshot> snapshot_with_quota()
{
    account_row row;
    row.key_hashes_.insert(sha256_hex("key-1"));
    row.requests_per_second_ = quota.rate_;
    row.burst_ = quota.burst_;
    config_tables tables;
    apply_change(tables, pool_change(5));
    apply_change(tables, {table_id::accounts, row_key{account.value()}, row});
    return *config_snapshot::build(revision{5}, tables);
}

node_settings settings_with_quota(int host)
{
    auto settings = settings_of(host, "salle-belair");
    settings.quota_.window_ = 5s;
    return settings;
}

/// Outcomes of requests that were sent to one node.
struct outcomes
{
    std::atomic<int> admitted_ = 0;
    std::atomic<int> exceeded_ = 0;
    std::atomic<int> unavailable_ = 0;

    void count(const result<void>& outcome)
    {
        if (outcome)
        {
            ++admitted_;
        }
        else
        {
            ++(outcome.error().kind_ == error_kind::quota_exceeded
                   ? exceeded_
                   : unavailable_);
        }
    }
};

/// Sends a request every 2 ms and waits for the outcomes.
void send_requests(
    control_node& node, std::chrono::milliseconds time, outcomes& counted)
{
    auto& quotas = node.plane_.account_quota();
    const auto until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until)
    {
        if (const auto decided = quotas.try_admit(account, quota))
        {
            counted.count(*decided);
        }
        else
        {
            quotas.admit_later(
                account, quota,
                [&counted](const result<void>& outcome)
                {
                    counted.count(outcome);
                });
        }
        std::this_thread::sleep_for(2ms);
    }
    std::this_thread::sleep_for(500ms);
}

} // namespace

// Guards against nodes that admit an account beyond its quota, or that refuse
// requests within it, when one of them asks the other for tokens.
Test(quota, two_nodes_share_a_quota)
{
    memory_tables tables;
    scripted_source source;
    source.publish(snapshot_with_quota());
    control_node first(
        settings_with_quota(1), polled_services{tables, tables, &source});
    cr_assert(is_serving_within(5s, first));
    auto settings = settings_with_quota(2);
    settings.peers_ = {first.settings_.control_};
    control_node second(settings, polled_services{tables, tables, &source});
    cr_assert(is_serving_within(5s, second));
    std::this_thread::sleep_for(sharing_begins);
    outcomes counted;
    std::thread other(
        [&]
        {
            send_requests(second, 3s, counted);
        });
    send_requests(first, 3s, counted);
    other.join();
    // The rate of 100 a second for 3 s, a burst of 100, and what may be used
    // for 1 s beside them.
    cr_assert(
        counted.admitted_ >= 250 && counted.admitted_ <= 510, "%d admitted",
        counted.admitted_.load());
    cr_assert(counted.exceeded_ > 0);
    cr_assert_eq(counted.unavailable_, 0);
}

// Guards against requests that wait for ever, or get a 429, because the node
// that grants the quota is gone.
Test(quota, a_silent_grantor_is_not_a_used_up_quota)
{
    memory_tables tables;
    scripted_source source;
    source.publish(snapshot_with_quota());
    const silent_server gone({unique_address(2).address_, 17005});
    control_node node(
        settings_with_quota(1), polled_services{tables, tables, &source});
    cr_assert(is_serving_within(5s, node));
    member_record grantor;
    grantor.vm_ = vm_id{"vm-9"};
    grantor.failure_domain_ = node.settings_.failure_domain_;
    grantor.region_ = node.settings_.region_;
    grantor.control_address_ = to_string(gone.endpoint_);
    grantor.incarnation_ = incarnation{1};
    // The largest link makes it the grantor.
    grantor.link_ = bit_rate{1'000'000'000};
    node.members_.merge(grantor);
    std::this_thread::sleep_for(300ms);
    outcomes counted;
    send_requests(node, 300ms, counted);
    cr_assert(counted.unavailable_ > 0);
    cr_assert_eq(counted.exceeded_, 0);
}

namespace {

void assert_admits_half(control_node& node)
{
    outcomes counted;
    send_requests(node, 3s, counted);
    // Half of the rate for 4 s, and of the burst.
    cr_assert(
        counted.admitted_ >= 100 && counted.admitted_ <= 250, "%d admitted",
        counted.admitted_.load());
}

} // namespace

// Guards against two nodes of a failure domain that both grant its whole part:
// the one that is cut off goes on, and the next one takes over.
Test(quota, a_node_that_is_lent_nothing_grants_its_own_share)
{
    memory_tables tables;
    scripted_source source;
    source.publish(snapshot_with_quota());
    scripted_peer peer(settings_of(2, "salle-belair"));
    auto settings = settings_with_quota(1);
    // The largest link makes it the grantor.
    settings.link_ = bit_rate{1'000'000'000};
    control_node node(settings, polled_services{tables, tables, &source});
    cr_assert(is_serving_within(5s, node));
    node.members_.merge(peer.record());
    std::this_thread::sleep_for(sharing_begins);
    assert_admits_half(node);
    const auto text = node.metrics_.to_text();
    cr_assert(
        text.find("hemlockshelf_quota_share 0.5") != std::string::npos, "%s",
        text.c_str());
}

// Guards against a quota that nobody grants after a planned stop of the
// grantor, until its loans would have ended.
Test(quota, the_next_grantor_takes_over_from_one_that_stops)
{
    memory_tables tables;
    scripted_source source;
    source.publish(snapshot_with_quota());
    auto first_settings = settings_with_quota(1);
    first_settings.link_ = bit_rate{1'000'000'000};
    control_node first(
        first_settings, polled_services{tables, tables, &source});
    cr_assert(is_serving_within(5s, first));
    auto settings = settings_with_quota(2);
    settings.peers_ = {first.settings_.control_};
    control_node second(settings, polled_services{tables, tables, &source});
    cr_assert(is_serving_within(5s, second));
    std::this_thread::sleep_for(sharing_begins);
    first.plane_.stop();
    outcomes counted;
    send_requests(second, 2s, counted);
    cr_assert(
        counted.admitted_ >= 120, "%d admitted", counted.admitted_.load());
}

// Guards against a node that has started while it is cut off from the others of
// its failure domain and grants the whole part, as one of them does.
Test(quota, a_node_that_starts_cut_off_grants_its_own_share)
{
    memory_tables tables;
    scripted_source source;
    source.publish(snapshot_with_quota());
    const silent_server unreachable({unique_address(2).address_, 17005});
    auto settings = settings_with_quota(1);
    cr_assert(write_directory_row(
        tables,
        {settings.failure_domain_, vm_id{"vm-9"}, unreachable.endpoint_}));
    control_node node(settings, polled_services{tables, tables, &source});
    cr_assert(is_serving_within(10s, node));
    std::this_thread::sleep_for(sharing_begins);
    assert_admits_half(node);
}
