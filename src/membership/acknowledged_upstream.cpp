#include "hemlockshelf/membership/acknowledged_upstream.hpp"

namespace hemlockshelf {

bool is_withdrawn(
    const acknowledged_upstream& acknowledged,
    const announcement_version& order)
{
    return acknowledged.withdrawn_until_ms_ &&
           acknowledged.order_.instance_ == order.instance_ &&
           order.started_ms_ <= acknowledged.withdrawn_until_ms_;
}

bool equivalent(
    const std::optional<acknowledged_upstream>& left,
    const std::optional<acknowledged_upstream>& right)
{
    if (!left || !right)
    {
        return !left && !right;
    }
    return same_start(left->order_, right->order_) &&
           left->withdrawn_until_ms_ == right->withdrawn_until_ms_ &&
           left->drained_ == right->drained_;
}

} // namespace hemlockshelf
