#include "hemlockshelf/quota/token_grantor.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

constexpr boot_time start{1000s};
const client_account_id account{"mesh/observatory"};

quota_settings four_domains()
{
    return {.window_ = 5s, .overage_ = 0.1, .failure_domains_ = 4};
}

} // namespace

// Guards against a new grantor that grants again what the previous one has just
// granted.
Test(token_grantor, starts_with_nothing)
{
    token_grantor grantor(four_domains(), start);
    const auto grant = grantor.grant(account, {400, 400}, 10, start);
    cr_assert(grant.granted_ == 0);
    cr_assert(grant.wait_ == 10ms, "%d", static_cast<int>(grant.wait_.count()));
}

// Guards against failure domains that together grant more than the quota.
Test(token_grantor, grants_the_part_of_its_failure_domain)
{
    token_grantor grantor(four_domains(), start);
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
    token_grantor grantor(four_domains(), start);
    cr_assert(grantor.grant(account, {1, 1}, 1, start + 3s).granted_ == 0);
    cr_assert(grantor.grant(account, {1, 1}, 1, start + 4s).granted_ == 1);
}

// Guards against a lowered quota that takes effect only when the tokens of the
// old one are used up.
Test(token_grantor, follows_a_lower_quota_at_once)
{
    token_grantor grantor(four_domains(), start);
    cr_assert(grantor.grant(account, {400, 400}, 1, start + 1s).granted_ == 1);
    cr_assert(
        grantor.grant(account, {40, 40}, 1000, start + 1s).granted_ == 10);
}

// Guards against a clock that is read out of order and creates tokens.
Test(token_grantor, ignores_time_that_goes_back)
{
    token_grantor grantor(four_domains(), start);
    cr_assert(grantor.grant(account, {4, 4}, 9, start + 10s).granted_ == 1);
    cr_assert(grantor.grant(account, {4, 4}, 9, start + 9s).granted_ == 0);
    cr_assert(grantor.grant(account, {4, 4}, 9, start + 10s).granted_ == 0);
}

// Guards against a rate that cannot be used because the burst is less than what
// nodes request at once.
Test(token_grantor, a_quota_without_burst_can_be_used)
{
    token_grantor grantor(four_domains(), start);
    std::uint32_t granted = 0;
    for (auto now = start; now < start + 10s; now += 100ms)
    {
        granted += grantor.grant(account, {400, 0}, 100, now).granted_;
    }
    cr_assert(granted >= 950 && granted <= 1000, "%u", granted);
}
