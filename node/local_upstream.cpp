#include "node/local_upstream.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <tuple>
#include <utility>

namespace hemlockshelf {

namespace {

// One VM has one upstream; more starts than these come from other senders.
constexpr std::size_t max_other_starts = 16;
// Largest difference to be expected between the clock that named a start and
// this one, which may both be off by seconds.
constexpr std::chrono::seconds max_clock_difference{60};

std::uint64_t to_milliseconds(wall_time time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            time.time_since_epoch())
            .count());
}

bool follows(const announcement_version& last, const announcement_version& next)
{
    return is_newer(last, next) || is_ordered_by_arrival(last, next);
}

/// Adds to an entry what else is known of the same start.
void merge(acknowledged_upstream& entry, const acknowledged_upstream& other)
{
    entry.order_.sequence_ =
        std::max(entry.order_.sequence_, other.order_.sequence_);
    entry.withdrawn_until_ms_ =
        std::max(entry.withdrawn_until_ms_, other.withdrawn_until_ms_);
    entry.drained_ = entry.drained_ || other.drained_;
}

/// Adds what is known of the withdrawal of another start of the same name:
/// other nodes hold the last start only.
void add_withdrawal(
    acknowledged_upstream& start, const acknowledged_upstream& other)
{
    if (start.order_.instance_ == other.order_.instance_)
    {
        start.withdrawn_until_ms_ =
            std::max(start.withdrawn_until_ms_, other.withdrawn_until_ms_);
    }
}

bool has_left(const acknowledged_upstream& start)
{
    return is_withdrawn(start, start.order_);
}

auto find_start(auto& starts, const announcement_version& order)
{
    return std::ranges::find_if(
        starts,
        [&order](const acknowledged_upstream& entry)
        {
            return same_start(entry.order_, order);
        });
}

} // namespace

local_upstream::local_upstream(
    const clock& time, std::chrono::milliseconds lifetime)
    : time_(time), lifetime_(lifetime)
{}

void local_upstream::wait_for_earlier_state()
{
    const std::lock_guard lock(mutex_);
    waits_for_earlier_state_ = true;
}

void local_upstream::end_wait_for_earlier_state()
{
    const std::lock_guard lock(mutex_);
    waits_for_earlier_state_ = false;
}

announcement_outcome
local_upstream::announce(const upstream_announcement& announcement)
{
    const std::lock_guard lock(mutex_);
    const auto& order = announcement.order_;
    const auto objection = find_objection(announcement);
    if (objection == announcement_outcome::in_future)
    {
        return *objection;
    }
    const bool leaves = announcement.draining_ && !order.instance_.empty();
    if (objection)
    {
        if (leaves)
        {
            add_departure(order);
        }
        return *objection;
    }
    if (!acknowledged_ || !same_start(acknowledged_->order_, order))
    {
        change_start(order);
    }
    if (expired())
    {
        acknowledged_->drained_ = false;
    }
    acknowledged_->order_ = order;
    if (leaves)
    {
        add_departure(order);
    }
    last_ = announcement;
    announced_at_ = time_.now();
    return announcement_outcome::accepted;
}

std::optional<announcement_outcome>
local_upstream::find_objection(const upstream_announcement& announcement) const
{
    const auto& order = announcement.order_;
    if (is_in_future(order.started_ms_))
    {
        return announcement_outcome::in_future;
    }
    const bool is_last =
        acknowledged_ && same_start(acknowledged_->order_, order);
    // An upstream that drains announces itself until it ends.
    if (was_withdrawn(order) && !(is_last && announcement.draining_))
    {
        return announcement_outcome::withdrawn;
    }
    if (!acknowledged_)
    {
        return std::nullopt;
    }
    const auto& last = acknowledged_->order_;
    const bool is_silent = expired();
    const auto* newest = find_newest(order);
    if (newest != nullptr && !follows(*newest, order) &&
        !(is_last && is_silent && order != last))
    {
        return announcement_outcome::late;
    }
    if (!is_last && !follows(last, order) && !is_silent)
    {
        return announcement_outcome::replaced;
    }
    return std::nullopt;
}

bool local_upstream::withdraw(const std::string& instance)
{
    const std::lock_guard lock(mutex_);
    const auto now = to_milliseconds(time_.wall_now());
    if (!acknowledged_)
    {
        acknowledged_ = {{instance}, now};
        return false;
    }
    if (acknowledged_->order_.instance_ != instance)
    {
        add_other({{instance}, now});
        return false;
    }
    add_departure(acknowledged_->order_);
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
    if (is_in_future(earlier.order_.started_ms_) ||
        is_in_future(earlier.withdrawn_until_ms_))
    {
        return;
    }
    if (!acknowledged_)
    {
        take_over(earlier);
        return;
    }
    auto& own = *acknowledged_;
    if (same_start(own.order_, earlier.order_))
    {
        // An announcement that this process has taken in is not older than
        // those of earlier processes unless its sequence says so.
        if (earlier.order_.sequence_ > own.order_.sequence_)
        {
            last_.reset();
        }
        merge(own, earlier);
    }
    else if (earlier.order_.started_ms_ > own.order_.started_ms_)
    {
        take_over(earlier);
    }
    else
    {
        add_other(earlier);
        add_withdrawal(own, earlier);
    }
}

std::uint64_t
local_upstream::end_of_withdrawal(const announcement_version& order) const
{
    // A later start may have begun before the withdrawal of this one arrives.
    return order.started_ms_.value_or(to_milliseconds(time_.wall_now()));
}

void local_upstream::add_departure(const announcement_version& order)
{
    const auto until = end_of_withdrawal(order);
    if (acknowledged_ && same_start(acknowledged_->order_, order))
    {
        acknowledged_->withdrawn_until_ms_ =
            std::max(acknowledged_->withdrawn_until_ms_, std::optional(until));
        return;
    }
    add_other({order, until});
}

void local_upstream::take_over(const acknowledged_upstream& earlier)
{
    change_start(earlier.order_);
    merge(*acknowledged_, earlier);
    last_.reset();
    announced_at_ = time_.now();
}

void local_upstream::change_start(const announcement_version& order)
{
    acknowledged_upstream next{order};
    if (const auto known = find_start(others_, order); known != others_.end())
    {
        next = *known;
        others_.erase(known);
    }
    if (acknowledged_)
    {
        add_other(*acknowledged_);
        add_withdrawal(next, *acknowledged_);
    }
    acknowledged_ = std::move(next);
}

void local_upstream::add_other(const acknowledged_upstream& other)
{
    if (const auto known = find_start(others_, other.order_);
        known != others_.end())
    {
        merge(*known, other);
        return;
    }
    others_.push_back(other);
    if (others_.size() <= max_other_starts)
    {
        return;
    }
    const auto unimportant = std::ranges::find_if(
        others_,
        [](const acknowledged_upstream& entry)
        {
            return !has_left(entry);
        });
    others_.erase(unimportant == others_.end() ? others_.begin() : unimportant);
}

const announcement_version*
local_upstream::find_newest(const announcement_version& order) const
{
    if (acknowledged_ && same_start(acknowledged_->order_, order))
    {
        return &acknowledged_->order_;
    }
    const auto known = find_start(others_, order);
    return known == others_.end() ? nullptr : &known->order_;
}

std::optional<upstream_announcement> local_upstream::current() const
{
    const std::lock_guard lock(mutex_);
    if (!last_ || expired() || waits_for_earlier_state_)
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

std::vector<acknowledged_upstream> local_upstream::departures() const
{
    const std::lock_guard lock(mutex_);
    std::vector<acknowledged_upstream> found;
    const auto add = [&found](acknowledged_upstream start)
    {
        if (has_left(start) || start.drained_)
        {
            start.order_.sequence_.reset();
            found.push_back(std::move(start));
        }
    };
    if (acknowledged_)
    {
        add(*acknowledged_);
    }
    std::ranges::for_each(others_, add);
    std::ranges::sort(
        found,
        [](const acknowledged_upstream& left,
           const acknowledged_upstream& right)
        {
            return std::tie(left.order_.instance_, left.order_.started_ms_) <
                   std::tie(right.order_.instance_, right.order_.started_ms_);
        });
    return found;
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
           std::ranges::any_of(others_, withdraws);
}

bool local_upstream::is_in_future(std::optional<std::uint64_t> wall_ms) const
{
    return wall_ms > to_milliseconds(time_.wall_now() + max_clock_difference);
}

} // namespace hemlockshelf
