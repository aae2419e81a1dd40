#include "hemlockshelf/quota/token_holder.hpp"

#include <algorithm>
#include <cmath>

#include "hemlockshelf/quota/token_horizon.hpp"

namespace hemlockshelf {

namespace {

using seconds = std::chrono::duration<double>;

// Time constant of the average of the demand.
constexpr seconds demand_memory{1};
// Refusals without a question to a grantor last no longer than this, since
// other nodes may leave tokens unused.
constexpr std::chrono::milliseconds longest_exhaustion{200};

// Grantors that a round asks, which bounds the time for which a request waits.
constexpr std::size_t longest_round = 4;

} // namespace

bool token_holder::take(boot_time now)
{
    count_request(now);
    return take_for_waiting(now);
}

bool token_holder::take_for_waiting(boot_time now)
{
    drop_expired(now);
    if (batches_.empty())
    {
        return false;
    }
    if (--batches_.front().count_ == 0)
    {
        batches_.pop_front();
    }
    return true;
}

std::uint32_t token_holder::wanted(std::size_t waiting, boot_time now) const
{
    if (in_round_ || (waiting == 0 && held(now) >= expected_demand(now) / 2))
    {
        return 0;
    }
    return missing(waiting, now);
}

std::uint32_t token_holder::missing(std::size_t waiting, boot_time now) const
{
    constexpr double largest_request = 1e6;
    const double ahead =
        std::max(0.0, std::floor(expected_demand(now)) - held(now));
    return static_cast<std::uint32_t>(
        std::min(ahead + static_cast<double>(waiting), largest_request));
}

void token_holder::begin_round(std::size_t grantors, boot_time now)
{
    round_began_at_ = now;
    in_round_ = true;
    answered_ = false;
    grantors_ = grantors;
    granted_all_ = false;
    limit_ = std::min(grantors, longest_round);
    position_ = 0;
    token_due_at_.reset();
    exhausted_until_ = {};
}

std::optional<std::size_t> token_holder::next_grantor() const
{
    if (position_ >= limit_)
    {
        return std::nullopt;
    }
    // The nearest one first, then the others from the preferred one.
    if (position_ == 0 || preferred_ == 0 || preferred_ >= grantors_)
    {
        return position_;
    }
    return 1 + (preferred_ - 1 + position_ - 1) % (grantors_ - 1);
}

void token_holder::record_answer(
    const std::optional<token_grant>& answer, boot_time asked_at)
{
    const auto asked = next_grantor();
    ++position_;
    granted_all_ = answer && answer->granted_ > 0 && answer->wait_.count() == 0;
    if (!answer)
    {
        return;
    }
    answered_ = true;
    if (answer->granted_ > 0)
    {
        batches_.push_back({answer->granted_, asked_at + token_lifetime});
        preferred_ = asked.value_or(0);
    }
    if (answer->wait_.count() > 0)
    {
        const auto due = asked_at + answer->wait_;
        token_due_at_ = token_due_at_ ? std::min(*token_due_at_, due) : due;
    }
}

void token_holder::end_round(boot_time now)
{
    in_round_ = false;
    const bool asked_all = position_ >= limit_;
    if (asked_all && limit_ < grantors_ && batches_.empty())
    {
        // The next round asks others.
        const auto first = std::max<std::size_t>(preferred_, 1) - 1;
        preferred_ = 1 + (first + limit_ - 1) % (grantors_ - 1);
    }
    if (asked_all && answered_ && token_due_at_ && batches_.empty())
    {
        exhausted_until_ = std::min(*token_due_at_, now + longest_exhaustion);
    }
}

std::optional<std::chrono::milliseconds>
token_holder::exhausted_for(boot_time now) const
{
    if (now >= exhausted_until_ || !token_due_at_)
    {
        return std::nullopt;
    }
    return std::max(
        std::chrono::ceil<std::chrono::milliseconds>(*token_due_at_ - now),
        std::chrono::milliseconds{1});
}

void token_holder::drop_expired(boot_time now)
{
    while (!batches_.empty() && batches_.front().expires_at_ <= now)
    {
        batches_.pop_front();
    }
}

double token_holder::held(boot_time now) const
{
    double count = 0;
    for (const auto& batch : batches_)
    {
        count += batch.expires_at_ > now ? batch.count_ : 0;
    }
    return count;
}

double token_holder::expected_demand(boot_time now) const
{
    const seconds idle = now - counted_at_;
    return demand_ * seconds{token_horizon}.count() *
           std::exp(-idle.count() / demand_memory.count());
}

void token_holder::count_request(boot_time now)
{
    const seconds passed = std::max(now - counted_at_, {});
    const double kept = std::exp(-passed.count() / demand_memory.count());
    demand_ = demand_ * kept + 1 / demand_memory.count();
    counted_at_ = now;
}

bool quota_reserve::take(
    const quota_settings& settings,
    const account_quota& quota,
    std::size_t nodes,
    boot_time now)
{
    const double rate = quota.rate_ * settings.overage_ / 2 /
                        static_cast<double>(std::max<std::size_t>(nodes, 1));
    const seconds window = settings.window_;
    const seconds passed = std::max(now - refilled_at_.value_or(now), {});
    // Half of a window: what is saved comes on top of what accrues in the next
    // one.
    tokens_ =
        std::min(rate * window.count() / 2, tokens_ + passed.count() * rate);
    refilled_at_ = now;
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace hemlockshelf
