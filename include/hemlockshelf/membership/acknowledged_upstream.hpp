#ifndef HEMLOCKSHELF_MEMBERSHIP_ACKNOWLEDGED_UPSTREAM_HPP
#define HEMLOCKSHELF_MEMBERSHIP_ACKNOWLEDGED_UPSTREAM_HPP

#include <cstdint>
#include <optional>

#include "hemlockshelf/membership/upstream_announcement.hpp"

namespace hemlockshelf {

/// What a node has acknowledged to the upstream on its VM. A VM keeps nothing
/// when its process ends, so other nodes hold this for it: a restarted node
/// must not take an older announcement for the newest one.
struct acknowledged_upstream
{
    /// The newest announcement.
    announcement_version order_{};
    /// The upstream of this name has deregistered: its starts up to this
    /// wall-clock time, in milliseconds, get no work.
    std::optional<std::uint64_t> withdrawn_until_ms_{};
    /// Whether an operator has drained this start of the upstream.
    bool drained_ = false;

    friend bool operator==(
        const acknowledged_upstream&, const acknowledged_upstream&) = default;
};

/// Returns whether this start of the upstream has deregistered. A
/// deregistration names no start, and may come before the first announcement of
/// one.
bool is_withdrawn(
    const acknowledged_upstream& acknowledged,
    const announcement_version& order);

/// Returns whether both tell the same to a restarted node, which needs neither
/// the newest sequence number nor any of an upstream that gets work.
bool equivalent(
    const std::optional<acknowledged_upstream>& left,
    const std::optional<acknowledged_upstream>& right);

} // namespace hemlockshelf

#endif
