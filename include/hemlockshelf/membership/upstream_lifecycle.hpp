#ifndef HEMLOCKSHELF_MEMBERSHIP_UPSTREAM_LIFECYCLE_HPP
#define HEMLOCKSHELF_MEMBERSHIP_UPSTREAM_LIFECYCLE_HPP

#include <memory>
#include <optional>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/membership/member_record.hpp"
#include "hemlockshelf/membership/membership_settings.hpp"
#include "hemlockshelf/membership/upstream_announcement.hpp"

namespace hemlockshelf {

/// State of the upstream beside this node: absent, warming, ready, draining,
/// down, and left once the node leaves.
class upstream_lifecycle
{
public:
    explicit upstream_lifecycle(const membership_settings& settings);
    ~upstream_lifecycle();
    upstream_lifecycle(const upstream_lifecycle&) = delete;
    upstream_lifecycle& operator=(const upstream_lifecycle&) = delete;

    /// Takes the last announcement, or nothing if there is none that is
    /// recent.
    void observe(
        const std::optional<upstream_announcement>& announcement,
        steady_time now);

    /// The node drains: the upstream gets no new work, whatever it announces.
    void drain();

    /// The node leaves; the state changes no more.
    void leave();

    [[nodiscard]] upstream_state state() const;

private:
    class machine;
    const membership_settings settings_;
    std::unique_ptr<machine> machine_;
    steady_time warming_since_;
    bool node_drains_ = false;
};

} // namespace hemlockshelf

#endif
