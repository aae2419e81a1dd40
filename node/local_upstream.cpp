#include "node/local_upstream.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace hemlockshelf {

namespace {

// One VM has one upstream; more names than these come from other senders.
constexpr std::size_t max_other_withdrawals = 16;

std::uint64_t to_milliseconds(wall_time time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            time.time_since_epoch())
            .count());
}

} // namespace

local_upstream::local_upstream(
    const clock& time, std::chrono::milliseconds lifetime)
    : time_(time), lifetime_(lifetime)
{}

bool local_upstream::announce(const upstream_announcement& announcement)
{
    const std::lock_guard lock(mutex_);
    const auto& order = announcement.order_;
    if (was_withdrawn(order) ||
        (acknowledged_ && !is_newer(acknowledged_->order_, order)))
    {
        return false;
    }
    if (!acknowledged_ || !same_start(acknowledged_->order_, order))
    {
        replace({order});
    }
    if (expired())
    {
        acknowledged_->drained_ = false;
    }
    acknowledged_->order_ = order;
    last_ = announcement;
    announced_at_ = time_.now();
    return true;
}

bool local_upstream::withdraw(const std::string& instance)
{
    const std::lock_guard lock(mutex_);
    const auto now = to_milliseconds(time_.wall_now());
    if (!acknowledged_)
    {
        replace({{instance}, now});
        return false;
    }
    if (acknowledged_->order_.instance_ != instance)
    {
        add_withdrawal({{instance}, now});
        return false;
    }
    // A later start may have begun before the withdrawal of this one arrives.
    const auto started = acknowledged_->order_.started_ms_;
    acknowledged_->withdrawn_until_ms_ = started > 0 ? started : now;
    announced_at_ = time_.now();
    return true;
}

void local_upstream::drain()
{
    const std::lock_guard lock(mutex_);
    if (acknowledged_)
    {
        acknowledged_->drained_ = true;
    }
}

void local_upstream::restore(const acknowledged_upstream& earlier)
{
    const std::lock_guard lock(mutex_);
    if (!acknowledged_)
    {
        take_over(earlier);
        return;
    }
    auto& own = *acknowledged_;
    const bool same_name = own.order_.instance_ == earlier.order_.instance_;
    const auto withdrawn_until =
        std::max(own.withdrawn_until_ms_, earlier.withdrawn_until_ms_);
    const bool same = same_start(own.order_, earlier.order_);
    // An announcement that this process has taken in is not older than those
    // of earlier processes unless its start or its sequence says so.
    if (earlier.order_.started_ms_ > own.order_.started_ms_ ||
        (same && earlier.order_.sequence_ > own.order_.sequence_))
    {
        take_over(earlier);
    }
    else if (same)
    {
        own.drained_ = own.drained_ || earlier.drained_;
    }
    else
    {
        add_withdrawal(earlier);
    }
    if (same_name)
    {
        own.withdrawn_until_ms_ = withdrawn_until;
    }
}

void local_upstream::take_over(const acknowledged_upstream& earlier)
{
    replace(earlier);
    last_.reset();
    announced_at_ = time_.now();
}

void local_upstream::replace(acknowledged_upstream next)
{
    if (acknowledged_)
    {
        add_withdrawal(std::move(*acknowledged_));
    }
    acknowledged_ = std::move(next);
}

void local_upstream::add_withdrawal(acknowledged_upstream withdrawn)
{
    if (withdrawn.withdrawn_until_ms_ == 0)
    {
        return;
    }
    other_withdrawals_.push_back(std::move(withdrawn));
    if (other_withdrawals_.size() > max_other_withdrawals)
    {
        other_withdrawals_.pop_front();
    }
}

std::optional<upstream_announcement> local_upstream::current() const
{
    const std::lock_guard lock(mutex_);
    if (!last_ || expired())
    {
        return std::nullopt;
    }
    upstream_announcement announcement = *last_;
    announcement.draining_ = announcement.draining_ ||
                             acknowledged_->drained_ ||
                             was_withdrawn(announcement.order_);
    return announcement;
}

std::optional<acknowledged_upstream> local_upstream::acknowledged() const
{
    const std::lock_guard lock(mutex_);
    return acknowledged_;
}

bool local_upstream::expired() const
{
    return time_.now() - announced_at_ > lifetime_;
}

bool local_upstream::was_withdrawn(const announcement_version& order) const
{
    const auto withdraws = [&order](const acknowledged_upstream& other)
    {
        return is_withdrawn(other, order);
    };
    return (acknowledged_ && withdraws(*acknowledged_)) ||
           std::ranges::any_of(other_withdrawals_, withdraws);
}

} // namespace hemlockshelf
