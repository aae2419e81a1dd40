#include "hemlockshelf/config/snapshot_store.hpp"

#include <utility>

#include <fmt/format.h>

namespace hemlockshelf {

snapshot_store::snapshot_store() : current_(config_snapshot::empty()) {}

std::shared_ptr<const config_snapshot> snapshot_store::current() const
{
    const std::lock_guard lock(mutex_);
    return current_;
}

result<void>
snapshot_store::advance(std::shared_ptr<const config_snapshot> next)
{
    const std::lock_guard lock(mutex_);
    if (next->number() <= current_->number())
    {
        return make_error(
            error_kind::stale_revision,
            fmt::format(
                "snapshot of revision {}: revision {} is already active",
                next->number().value(), current_->number().value()));
    }
    current_ = std::move(next);
    return {};
}

} // namespace hemlockshelf
