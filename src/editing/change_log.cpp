#include "hemlockshelf/editing/change_log.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <fmt/format.h>

namespace hemlockshelf {

change_log::change_log(std::size_t capacity) : capacity_(capacity) {}

void change_log::append(config_delta delta)
{
    const std::lock_guard lock(mutex_);
    if (delta.to_ <= newest_)
    {
        return;
    }
    if (delta.to_.value() != newest_.value() + 1)
    {
        deltas_.clear();
    }
    newest_ = delta.to_;
    deltas_.push_back(std::make_shared<const config_delta>(std::move(delta)));
    if (deltas_.size() > capacity_)
    {
        deltas_.pop_front();
    }
}

void change_log::restart(revision held)
{
    const std::lock_guard lock(mutex_);
    if (held > newest_)
    {
        deltas_.clear();
        newest_ = held;
    }
}

result<std::vector<change_log::delta_pointer>>
change_log::after(revision from, std::size_t limit) const
{
    const std::lock_guard lock(mutex_);
    if (from >= newest_)
    {
        return std::vector<delta_pointer>{};
    }
    const std::uint64_t oldest_base = newest_.value() - deltas_.size();
    if (from.value() < oldest_base)
    {
        return make_error(
            error_kind::revision_gap,
            fmt::format(
                "change log: asked for deltas after revision {}, holds those "
                "after revision {}",
                from.value(), oldest_base));
    }
    const auto skipped = from.value() - oldest_base;
    const auto first = deltas_.begin() + static_cast<std::ptrdiff_t>(skipped);
    const auto count = std::min<std::size_t>(limit, deltas_.size() - skipped);
    return std::vector<delta_pointer>(
        first, first + static_cast<std::ptrdiff_t>(count));
}

revision change_log::newest() const
{
    const std::lock_guard lock(mutex_);
    return newest_;
}

} // namespace hemlockshelf
