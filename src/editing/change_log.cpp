#include "hemlockshelf/editing/change_log.hpp"

#include <algorithm>
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
    if (base_revision(delta) != newest_)
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

void change_log::reset(revision current)
{
    const std::lock_guard lock(mutex_);
    if (current > newest_)
    {
        deltas_.clear();
        newest_ = current;
    }
}

result<std::vector<change_log::delta_pointer>>
change_log::deltas_after(revision from, std::size_t limit) const
{
    const std::lock_guard lock(mutex_);
    if (from >= newest_)
    {
        return std::vector<delta_pointer>{};
    }
    const auto first = std::ranges::find(
        deltas_, from,
        [](const delta_pointer& delta)
        {
            return base_revision(*delta);
        });
    if (first == deltas_.end())
    {
        const auto oldest =
            deltas_.empty() ? newest_ : base_revision(*deltas_.front());
        return make_error(
            error_kind::revision_gap,
            fmt::format(
                "change log: no delta starts at revision {}, the oldest one "
                "starts at revision {}",
                from.value(), oldest.value()));
    }
    const auto kept = static_cast<std::size_t>(deltas_.end() - first);
    return std::vector<delta_pointer>(
        first, first + static_cast<std::ptrdiff_t>(std::min(limit, kept)));
}

revision change_log::newest() const
{
    const std::lock_guard lock(mutex_);
    return newest_;
}

} // namespace hemlockshelf
