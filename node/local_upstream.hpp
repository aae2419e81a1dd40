#ifndef HEMLOCKSHELF_NODE_LOCAL_UPSTREAM_HPP
#define HEMLOCKSHELF_NODE_LOCAL_UPSTREAM_HPP

#include <chrono>
#include <mutex>
#include <optional>
#include <string>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/membership/upstream_announcement.hpp"

namespace hemlockshelf {

/// Holds the last announcement of the upstream on the node's VM. Thread-safe.
class local_upstream
{
public:
    /// An announcement expires after `lifetime`.
    local_upstream(const clock& time, std::chrono::milliseconds lifetime);

    /// Stores an announcement and its arrival time. Returns false and ignores
    /// it if it does not follow the stored one or if its instance has been
    /// withdrawn.
    bool announce(const upstream_announcement& announcement);

    /// Permanently drains the upstream if its last announcement has this
    /// instance name: only announcements of another start are accepted
    /// afterwards. Returns false if the last announcement is from another
    /// instance.
    bool withdraw(const std::string& instance);

    /// Drains the upstream until it announces itself after its announcement has
    /// expired, or announces another start.
    void drain();

    /// Returns the last announcement unless it has expired.
    [[nodiscard]] std::optional<upstream_announcement> current() const;

private:
    [[nodiscard]] bool expired() const;

    const clock& time_;
    std::chrono::milliseconds lifetime_;
    mutable std::mutex mutex_;
    std::optional<upstream_announcement> last_;
    steady_time announced_at_;
    bool drained_ = false;
    bool withdrawn_ = false;
};

} // namespace hemlockshelf

#endif
