#include "node/local_upstream.hpp"

namespace hemlockshelf {

local_upstream::local_upstream(
    const clock& time, std::chrono::milliseconds lifetime)
    : time_(time), lifetime_(lifetime)
{}

bool local_upstream::announce(const upstream_announcement& announcement)
{
    const std::lock_guard lock(mutex_);
    if (last_ && !is_newer(last_->order_, announcement.order_))
    {
        return false;
    }
    if (!last_ || !same_start(last_->order_, announcement.order_))
    {
        withdrawn_ = false;
        drained_ = false;
    }
    if (withdrawn_)
    {
        return false;
    }
    if (expired())
    {
        drained_ = false;
    }
    last_ = announcement;
    announced_at_ = time_.now();
    return true;
}

bool local_upstream::withdraw(const std::string& instance)
{
    const std::lock_guard lock(mutex_);
    if (!last_ || last_->order_.instance_ != instance)
    {
        return false;
    }
    withdrawn_ = true;
    announced_at_ = time_.now();
    return true;
}

void local_upstream::drain()
{
    const std::lock_guard lock(mutex_);
    drained_ = true;
}

std::optional<upstream_announcement> local_upstream::current() const
{
    const std::lock_guard lock(mutex_);
    if (expired())
    {
        return std::nullopt;
    }
    upstream_announcement announcement = *last_;
    announcement.draining_ = announcement.draining_ || drained_ || withdrawn_;
    return announcement;
}

bool local_upstream::expired() const
{
    return !last_ || time_.now() - announced_at_ > lifetime_;
}

} // namespace hemlockshelf
