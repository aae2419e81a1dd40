#ifndef HEMLOCKSHELF_MEMBERSHIP_UPSTREAM_LIFECYCLE_HPP
#define HEMLOCKSHELF_MEMBERSHIP_UPSTREAM_LIFECYCLE_HPP

#include <memory>
#include <optional>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/membership/member_record.hpp"
#include "hemlockshelf/membership/membership_settings.hpp"
#include "hemlockshelf/membership/upstream_announcement.hpp"

namespace hemlockshelf {

/// State machine of the upstream on this node's VM: absent, warming, ready,
/// draining, down, and left once the node leaves.
class upstream_lifecycle
{
public:
    explicit upstream_lifecycle(const membership_settings& settings);
    ~upstream_lifecycle();
    upstream_lifecycle(const upstream_lifecycle&) = delete;
    upstream_lifecycle& operator=(const upstream_lifecycle&) = delete;

    /// Processes the latest announcement, or nullopt if it has expired.
    void observe(
        const std::optional<upstream_announcement>& announcement,
        steady_time now);

    /// The node drains. The upstream gets no new work, whatever it announces.
    void drain();

    /// The node leaves. This state is final.
    void leave();

    [[nodiscard]] upstream_state state() const;

private:
    class machine;
    const membership_settings settings_;
    std::unique_ptr<machine> machine_;
    steady_time warming_since_;
    bool node_draining_ = false;
};

} // namespace hemlockshelf

#endif
