#include "hemlockshelf/quota/token_grantor.hpp"

#include <algorithm>
#include <cmath>

#include "hemlockshelf/quota/token_horizon.hpp"

namespace hemlockshelf {

namespace {

using seconds = std::chrono::duration<double>;

constexpr seconds longest_wait{60};

} // namespace

token_grantor::token_grantor(const quota_settings& settings, boot_time now)
    : parts_(static_cast<double>(
          std::max<std::size_t>(settings.failure_domains_, 1))),
      since_(now)
{}

token_grant token_grantor::grant(
    const client_account_id& account,
    const account_quota& quota,
    std::uint32_t count,
    boot_time now)
{
    const double rate = quota.rate_ / parts_;
    // A part of less than one token could never be granted, and a burst of less
    // than one batch would keep the rate from being used.
    const double capacity = std::max(
        {1.0, quota.burst_ / parts_, rate * seconds{token_horizon}.count()});
    auto& state = buckets_.try_emplace(account, token_bucket_state{0, since_})
                      .first->second;
    const seconds passed = std::max(now - state.refilled_at_, {});
    state.tokens_ = std::min(capacity, state.tokens_ + passed.count() * rate);
    state.refilled_at_ = std::max(state.refilled_at_, now);
    token_grant answer;
    answer.granted_ = static_cast<std::uint32_t>(std::clamp<double>(
        std::floor(state.tokens_), 0, static_cast<double>(count)));
    state.tokens_ -= answer.granted_;
    if (answer.granted_ < count)
    {
        const seconds wait{
            rate > 0 ? (1 - state.tokens_) / rate : longest_wait.count()};
        answer.wait_ = std::chrono::ceil<std::chrono::milliseconds>(
            std::clamp(wait, seconds{0.001}, longest_wait));
    }
    return answer;
}

} // namespace hemlockshelf
