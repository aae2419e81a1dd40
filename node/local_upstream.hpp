#ifndef HEMLOCKSHELF_NODE_LOCAL_UPSTREAM_HPP
#define HEMLOCKSHELF_NODE_LOCAL_UPSTREAM_HPP

#include <chrono>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/membership/acknowledged_upstream.hpp"
#include "hemlockshelf/membership/upstream_announcement.hpp"

namespace hemlockshelf {

/// Longest wait for other nodes to hold what a node acknowledges to its
/// upstream. An instance waits 1 s for the answer. A node that reaches no other
/// answers after this time: the instance then gets no work from elsewhere.
inline constexpr std::chrono::milliseconds max_upstream_share_time{700};

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

    /// Permanently drains the upstream with this instance name: the start of
    /// its last announcement or, if there is none, each start until now. Only
    /// announcements of later starts are accepted afterwards. Returns false if
    /// the last announcement is from another instance.
    bool withdraw(const std::string& instance);

    /// Drains the upstream until it announces itself after its announcement has
    /// expired, or announces another start.
    void drain();

    /// Adds what an earlier process of the node has acknowledged.
    void restore(const acknowledged_upstream& earlier);

    /// Returns the last announcement unless it has expired.
    [[nodiscard]] std::optional<upstream_announcement> current() const;

    /// Returns what has been acknowledged, including what was restored.
    [[nodiscard]] std::optional<acknowledged_upstream> acknowledged() const;

private:
    [[nodiscard]] bool expired() const;
    [[nodiscard]] bool was_withdrawn(const announcement_version& order) const;
    void take_over(const acknowledged_upstream& earlier);
    /// Replaces what is acknowledged and keeps its withdrawal.
    void replace(acknowledged_upstream next);
    /// Keeps what has been withdrawn of an upstream, if anything has.
    void add_withdrawal(acknowledged_upstream withdrawn);

    const clock& time_;
    std::chrono::milliseconds lifetime_;
    mutable std::mutex mutex_;
    std::optional<upstream_announcement> last_;
    std::optional<acknowledged_upstream> acknowledged_;
    /// When the last announcement arrived, or what an earlier process has
    /// acknowledged was restored.
    steady_time announced_at_;
    /// Withdrawals of upstreams and starts other than the last one's.
    std::deque<acknowledged_upstream> other_withdrawals_;
};

} // namespace hemlockshelf

#endif
