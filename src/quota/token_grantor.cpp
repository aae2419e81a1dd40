#include "hemlockshelf/quota/token_grantor.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "hemlockshelf/quota/token_horizon.hpp"

namespace hemlockshelf {

namespace {

using seconds = std::chrono::duration<double>;

constexpr seconds longest_wait{60};

// Only one grantor of a failure domain can have more.
constexpr double majority = 0.5;

} // namespace

token_grantor::token_grantor(const quota_settings& settings)
    : parts_(static_cast<double>(
          std::max<std::size_t>(settings.failure_domains_, 1)))
{}

void token_grantor::set_members(std::set<vm_id> members, boot_time now)
{
    shares_.set_members(std::move(members), now);
    update(now);
}

void token_grantor::record_loan(
    const vm_id& lender, boot_time until, boot_time now)
{
    shares_.record_loan(lender, until, now);
    update(now);
}

void token_grantor::update(boot_time now)
{
    const auto share = shares_.share(now);
    if (share == share_)
    {
        return;
    }
    const auto accrued = shares_.accrued(now);
    for (auto& [account, bucket] : buckets_)
    {
        fill(bucket, accrued);
    }
    share_ = share;
    for (auto& [account, bucket] : buckets_)
    {
        bucket.tokens_ = std::min(bucket.tokens_, capacity(bucket.quota_));
    }
}

double token_grantor::capacity(const account_quota& quota) const
{
    // A burst of less than one batch would keep the rate from being used.
    const double whole =
        std::max(quota.burst_, quota.rate_ * seconds{token_horizon}.count()) /
        parts_;
    // A part of less than one token could never be granted. Smaller parts than
    // the largest one get none, as their number is not limited.
    return share_ > majority ? std::max(1.0, share_ * std::max(1.0, whole))
                             : share_ * std::max(1.0, whole);
}

void token_grantor::fill(token_bucket_state& bucket, seconds accrued) const
{
    const double rate = bucket.quota_.rate_ / parts_;
    const double added = (accrued - bucket.filled_to_).count() * rate;
    bucket.tokens_ = std::min(capacity(bucket.quota_), bucket.tokens_ + added);
    bucket.filled_to_ = accrued;
}

token_grant token_grantor::grant(
    const client_account_id& account,
    const account_quota& quota,
    std::uint32_t count,
    boot_time now)
{
    update(now);
    auto& bucket = buckets_[account];
    bucket.quota_ = quota;
    fill(bucket, shares_.accrued(now));
    token_grant answer;
    answer.granted_ = static_cast<std::uint32_t>(std::clamp<double>(
        std::floor(bucket.tokens_), 0, static_cast<double>(count)));
    bucket.tokens_ -= answer.granted_;
    if (answer.granted_ < count)
    {
        const double rate = quota.rate_ / parts_ * share_;
        const seconds wait{
            rate > 0 ? (1 - bucket.tokens_) / rate : longest_wait.count()};
        answer.wait_ = std::chrono::ceil<std::chrono::milliseconds>(
            std::clamp(wait, seconds{0.001}, longest_wait));
    }
    return answer;
}

} // namespace hemlockshelf
