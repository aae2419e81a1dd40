#include "hemlockshelf/membership/member_table.hpp"

#include <algorithm>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

constexpr int vm_count = 5;

/// Makes the record that a member published under a version. Its content
/// follows from the version, as only the member itself writes it.
member_update make_update(int vm, unsigned start, unsigned number, bool down)
{
    member_update update;
    auto& record = update.record_;
    record.vm_ = vm_id{fmt::format("vm-{}", vm)};
    record.failure_domain_ = failure_domain_id{vm % 2 == 0 ? "a" : "b"};
    record.region_ = region_id{"r"};
    record.incarnation_ = incarnation{start};
    record.sequence_ = sequence{number};
    record.state_ = static_cast<upstream_state>((start + number) % 6);
    record.account_ = client_account_id{"regie"};
    record.service_ = service_name{number % 2 == 0 ? "ledger" : "audits"};
    update.down_ = down;
    return update;
}

rc::Gen<member_update> any_update()
{
    return rc::gen::map(
        rc::gen::tuple(
            rc::gen::inRange(0, vm_count), rc::gen::inRange(1U, 4U),
            rc::gen::inRange(1U, 5U), rc::gen::arbitrary<bool>()),
        [](const auto& parts)
        {
            return std::apply(make_update, parts);
        });
}

std::vector<member_update> contents(const member_table& table)
{
    auto updates = table.updates_in(member_table::bucket_set{}.set());
    std::ranges::sort(
        updates, {},
        [](const member_update& update)
        {
            return update.record_.vm_;
        });
    return updates;
}

bool is_listed(
    const std::vector<member_entry>& list, const member_record& record)
{
    return std::ranges::any_of(
        list,
        [&](const member_entry& entry)
        {
            return entry.record_ == record;
        });
}

void assert_index_is_current(const member_table& table)
{
    const auto all = table.all();
    for (const auto* service : {"ledger", "audits"})
    {
        const service_key key{
            client_account_id{"regie"}, service_name{service}};
        const auto list = table.members_of_service(key);
        std::size_t expected = 0;
        for (const auto& entry : all)
        {
            if (entry.record_.service_ == key.service_ &&
                can_serve(entry.record_.state_))
            {
                ++expected;
                RC_ASSERT(is_listed(*list, entry.record_));
            }
        }
        RC_ASSERT(list->size() == expected);
    }
    const auto first = table.members_in_domain(failure_domain_id{"a"});
    const auto second = table.members_in_domain(failure_domain_id{"b"});
    RC_ASSERT(first->size() + second->size() == all.size());
}

} // namespace

// Guards against nodes that disagree for good because updates reached them in
// another order or twice.
Test(member_table, merges_agree_in_any_order)
{
    cr_assert(rc::check(
        []
        {
            const auto updates =
                *rc::gen::container<std::vector<member_update>>(any_update());
            auto shuffled = updates;
            const auto seed = *rc::gen::arbitrary<unsigned>();
            std::ranges::shuffle(shuffled, std::mt19937(seed));
            member_table left;
            member_table right;
            for (const auto& update : updates)
            {
                left.merge(update);
                left.merge(update);
            }
            for (const auto& update : shuffled)
            {
                right.merge(update);
            }
            RC_ASSERT(contents(left) == contents(right));
            RC_ASSERT(left.digest() == right.digest());
        }));
}

// Guards against a loss that a later exchange of the differing buckets does
// not repair.
Test(member_table, an_exchange_of_differing_buckets_repairs_losses)
{
    cr_assert(rc::check(
        []
        {
            member_table left;
            member_table right;
            for (const auto& update :
                 *rc::gen::container<std::vector<member_update>>(any_update()))
            {
                if (*rc::gen::arbitrary<bool>())
                {
                    left.merge(update);
                }
                if (*rc::gen::arbitrary<bool>())
                {
                    right.merge(update);
                }
            }
            member_table::bucket_set differing;
            for (std::size_t bucket = 0; bucket < digest_bucket_count; ++bucket)
            {
                differing.set(
                    bucket,
                    left.digest().at(bucket) != right.digest().at(bucket));
            }
            for (const auto& update : right.updates_in(differing))
            {
                left.merge(update);
            }
            for (const auto& update : left.updates_in(differing))
            {
                right.merge(update);
            }
            RC_ASSERT(left.digest() == right.digest());
        }));
}

// Guards against routing by an index that misses or keeps a member.
Test(member_table, indexes_follow_every_change)
{
    cr_assert(rc::check(
        []
        {
            member_table table;
            for (const auto& update :
                 *rc::gen::container<std::vector<member_update>>(any_update()))
            {
                table.merge(update);
                assert_index_is_current(table);
            }
            table.remove_expired(steady_time{}, {});
            table.remove_expired(
                steady_time{} + membership_settings{}.removal_delay_, {});
            assert_index_is_current(table);
        }));
}

// Guards against the lost update of two concurrent index rebuilds.
Test(member_table, concurrent_merges_leave_a_current_index)
{
    member_table table;
    std::vector<std::thread> threads;
    for (unsigned lane = 0; lane < 4; ++lane)
    {
        threads.emplace_back(
            [&table, lane]
            {
                for (unsigned step = 0; step < 2000; ++step)
                {
                    table.merge(make_update(
                        static_cast<int>(step % vm_count), 1 + step / 100,
                        step + lane, false));
                }
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    cr_assert(rc::check(
        [&table]
        {
            assert_index_is_current(table);
        }));
}

// Guards against a suspicion that outlives a newer sign of life.
Test(member_table, a_newer_record_refutes_suspicion_and_down)
{
    member_table table;
    const auto first = make_update(0, 1, 1, false);
    const auto& vm = first.record_.vm_;
    table.merge(first);
    cr_assert(table.set_liveness(vm, incarnation{1}, liveness::suspect));
    cr_assert_not(table.merge(first));
    cr_assert(table.find(vm)->liveness_ == liveness::suspect);
    cr_assert(table.merge(make_update(0, 1, 2, false)));
    cr_assert(table.find(vm)->liveness_ == liveness::alive);

    cr_assert(table.merge(make_update(0, 1, 2, true)));
    cr_assert_not(table.merge(make_update(0, 1, 2, false)));
    cr_assert(table.find(vm)->liveness_ == liveness::down);
    cr_assert(table.merge(make_update(0, 2, 1, false)));
    cr_assert(table.find(vm)->liveness_ == liveness::alive);
}

// Guards against a finding about an earlier process that is applied to the
// one that replaced it.
Test(member_table, liveness_of_an_earlier_incarnation_is_ignored)
{
    member_table table;
    const auto update = make_update(0, 2, 1, false);
    table.merge(update);
    cr_assert_not(
        table.set_liveness(update.record_.vm_, incarnation{1}, liveness::down));
}

// Guards against removed members that come back with an old record, and
// against nodes whose digests differ because only one has removed a member.
Test(member_table, a_removed_member_returns_only_with_a_newer_record)
{
    const membership_settings settings;
    member_table keeps;
    member_table removes;
    const auto alive = make_update(0, 1, 1, false);
    const auto gone = make_update(0, 1, 1, true);
    for (auto* table : {&keeps, &removes})
    {
        table->merge(alive);
        table->merge(gone);
    }
    const steady_time start{};
    removes.remove_expired(start, settings);
    cr_assert(removes.size() == 1);
    removes.remove_expired(start + settings.removal_delay_, settings);
    cr_assert(removes.size() == 0);
    cr_assert(keeps.digest() == removes.digest());

    cr_assert_not(removes.merge(alive));
    cr_assert(removes.size() == 0);
    cr_assert(removes.merge(make_update(0, 2, 1, false)));
    cr_assert(removes.size() == 1);
}

// Guards against the two sides of a partition that delete each other.
Test(member_table, an_unreachable_member_is_never_removed)
{
    const membership_settings settings;
    member_table table;
    const auto update = make_update(0, 1, 1, false);
    table.merge(update);
    table.set_liveness(
        update.record_.vm_, incarnation{1}, liveness::unreachable);
    const steady_time start{};
    table.remove_expired(start, settings);
    table.remove_expired(start + std::chrono::hours{1000}, settings);
    cr_assert(table.size() == 1);
    cr_assert(table.count_by_liveness().at(2) == 1);
}
