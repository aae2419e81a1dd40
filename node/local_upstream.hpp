#ifndef HEMLOCKSHELF_NODE_LOCAL_UPSTREAM_HPP
#define HEMLOCKSHELF_NODE_LOCAL_UPSTREAM_HPP

#include <chrono>
#include <mutex>
#include <optional>
#include <string>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/membership/upstream_announcement.hpp"

namespace hemlockshelf {

/// The last announcement of the upstream beside the node. Thread-safe.
class local_upstream
{
public:
    /// An announcement counts for `lifetime`.
    local_upstream(const clock& time, std::chrono::milliseconds lifetime);

    /// Keeps an announcement and the time at which it came. Returns false, and
    /// keeps nothing, if a newer one came before or its sender has withdrawn.
    bool announce(const upstream_announcement& announcement);

    /// Drains the upstream whose last announcement has this instance's name,
    /// for good: only another start of it counts again. Returns false if the
    /// last announcement is another one's.
    bool withdraw(const std::string& instance);

    /// Drains the upstream until it has been away and announces itself again.
    void drain();

    /// Returns the announcement unless it is too old.
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
