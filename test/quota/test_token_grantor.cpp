#include "hemlockshelf/quota/token_grantor.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

constexpr boot_time start{1000s};
const client_account_id account{"mesh/observatory"};
const vm_id own_vm{"vm-1"};
const vm_id other_vm{"vm-2"};

quota_settings four_domains()
{
    return {.window_ = 5s, .overage_ = 0.1, .failure_domains_ = 4};
}

/// Returns a grantor that has borrowed all shares of its failure domain.
token_grantor make_whole_grantor()
{
    token_grantor grantor(four_domains());
    grantor.set_members({own_vm}, start);
    grantor.record_loan(own_vm, start + 24h, start);
    return grantor;
}

} // namespace

// Guards against a new grantor that grants again what the previous one has just
// granted.
Test(token_grantor, starts_with_nothing)
{
    auto grantor = make_whole_grantor();
    const auto grant = grantor.grant(account, {400, 400}, 10, start);
    cr_assert(grant.granted_ == 0);
    cr_assert(grant.wait_ == 10ms, "%d", static_cast<int>(grant.wait_.count()));
}

// Guards against failure domains that together grant more than the quota.
Test(token_grantor, grants_the_part_of_its_failure_domain)
{
    auto grantor = make_whole_grantor();
    cr_assert(
        grantor.grant(account, {400, 400}, 1000, start + 1s).granted_ == 100);
    cr_assert(
        grantor.grant(account, {400, 400}, 1000, start + 1s).granted_ == 0);
    cr_assert(
        grantor.grant(account, {400, 400}, 1000, start + 1h).granted_ == 100);
}

// Guards against small accounts that never get a token, because the part of a
// failure domain is less than one.
Test(token_grantor, grants_whole_tokens_of_small_quotas)
{
    auto grantor = make_whole_grantor();
    cr_assert(grantor.grant(account, {1, 1}, 1, start + 3s).granted_ == 0);
    cr_assert(grantor.grant(account, {1, 1}, 1, start + 4s).granted_ == 1);
}

// Guards against a lowered quota that takes effect only when the tokens of the
// old one are used up.
Test(token_grantor, follows_a_lower_quota_at_once)
{
    auto grantor = make_whole_grantor();
    cr_assert(grantor.grant(account, {400, 400}, 1, start + 1s).granted_ == 1);
    cr_assert(
        grantor.grant(account, {40, 40}, 1000, start + 1s).granted_ == 10);
}

// Guards against a clock that is read out of order and creates tokens.
Test(token_grantor, ignores_time_that_goes_back)
{
    auto grantor = make_whole_grantor();
    cr_assert(grantor.grant(account, {4, 4}, 9, start + 10s).granted_ == 1);
    cr_assert(grantor.grant(account, {4, 4}, 9, start + 9s).granted_ == 0);
    cr_assert(grantor.grant(account, {4, 4}, 9, start + 10s).granted_ == 0);
}

// Guards against a rate that cannot be used because the burst is less than what
// nodes request at once.
Test(token_grantor, a_quota_without_burst_can_be_used)
{
    auto grantor = make_whole_grantor();
    std::uint32_t granted = 0;
    for (auto now = start; now < start + 10s; now += 100ms)
    {
        granted += grantor.grant(account, {400, 0}, 100, now).granted_;
    }
    cr_assert(granted >= 950 && granted <= 1000, "%u", granted);
}

// Guards against two grantors of one failure domain that grant its part twice.
Test(token_grantor, grants_in_proportion_to_the_shares_that_it_was_lent)
{
    token_grantor grantor(four_domains());
    grantor.set_members({own_vm, other_vm}, start);
    cr_assert(
        grantor.grant(account, {400, 400}, 1000, start + 1s).granted_ == 0);
    grantor.record_loan(own_vm, start + 2s, start + 1s);
    cr_assert(
        grantor.grant(account, {400, 400}, 1000, start + 2s).granted_ == 0);
    grantor.record_loan(own_vm, start + 24h, start + 2s);
    // Half of 100 tokens a second.
    cr_assert(
        grantor.grant(account, {400, 400}, 1000, start + 3s).granted_ == 50);
    cr_assert(
        grantor.grant(account, {400, 400}, 1000, start + 1h).granted_ == 50);
}

// Guards against tokens that a grantor keeps from the time at which it held the
// shares that others have now.
Test(token_grantor, tokens_end_with_the_loans_that_yielded_them)
{
    token_grantor grantor(four_domains());
    grantor.set_members({own_vm, other_vm}, start);
    grantor.record_loan(own_vm, start + 24h, start);
    grantor.record_loan(other_vm, start + 10s, start);
    cr_assert(grantor.grant(account, {400, 400}, 1, start + 10s).granted_ == 1);
    grantor.update(start + 11s);
    grantor.record_loan(other_vm, start + 20s, start + 11s);
    cr_assert(
        grantor.grant(account, {400, 400}, 1000, start + 11s).granted_ == 50);
}

// Guards against nodes that are cut off one by one and each grant a whole token
// of a small quota.
Test(token_grantor, a_small_part_has_no_whole_token_of_a_small_quota)
{
    token_grantor grantor(four_domains());
    grantor.set_members({own_vm, other_vm, vm_id{"vm-3"}}, start);
    grantor.record_loan(own_vm, start + 24h, start);
    cr_assert(grantor.grant(account, {1, 1}, 1, start + 1h).granted_ == 0);
    grantor.record_loan(other_vm, start + 24h, start + 1h);
    cr_assert(grantor.grant(account, {1, 1}, 1, start + 2h).granted_ == 1);
}
