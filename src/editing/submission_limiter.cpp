#include "hemlockshelf/editing/submission_limiter.hpp"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

namespace hemlockshelf {

submission_limiter::submission_limiter(edit_quotas quotas) : quotas_(quotas) {}

result<submission_limiter::permit>
submission_limiter::admit(const client_account_id& account, steady_time now)
{
    const std::lock_guard lock(mutex_);
    auto& state = refill(account, now);
    if (state.concurrent_ >= quotas_.max_concurrent_)
    {
        return make_error(
            error_kind::rate_limited,
            fmt::format(
                "account \"{}\": expected at most {} edits at once on this "
                "node",
                account.value(), quotas_.max_concurrent_));
    }
    if (state.tokens_ < 1)
    {
        return make_error(
            error_kind::rate_limited,
            fmt::format(
                "account \"{}\": expected at most {} submitted edits per "
                "second on this node",
                account.value(), quotas_.max_submitted_per_second_));
    }
    state.tokens_ -= 1;
    ++state.concurrent_;
    return permit(
        nullptr,
        [this, account](void*)
        {
            release(account);
        });
}

submission_limiter::account_state&
submission_limiter::refill(const client_account_id& account, steady_time now)
{
    const double limit = quotas_.max_submitted_per_second_;
    const auto [entry, added] =
        accounts_.try_emplace(account, account_state{0, limit, now});
    auto& state = entry->second;
    const std::chrono::duration<double> passed = now - state.refilled_;
    state.tokens_ = std::min(
        limit, state.tokens_ + (limit * std::max(0.0, passed.count())));
    state.refilled_ = std::max(state.refilled_, now);
    return state;
}

void submission_limiter::release(const client_account_id& account)
{
    const std::lock_guard lock(mutex_);
    --accounts_.at(account).concurrent_;
}

} // namespace hemlockshelf
