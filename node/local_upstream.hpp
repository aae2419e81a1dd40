#ifndef HEMLOCKSHELF_NODE_LOCAL_UPSTREAM_HPP
#define HEMLOCKSHELF_NODE_LOCAL_UPSTREAM_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/membership/acknowledged_upstream.hpp"
#include "hemlockshelf/membership/upstream_announcement.hpp"

namespace hemlockshelf {

/// Longest wait for other nodes to hold what a node acknowledges to its
/// upstream. An instance waits 1 s for the answer. A node that reaches no other
/// answers after this time: the instance then gets no work from elsewhere.
inline constexpr std::chrono::milliseconds max_upstream_share_time{700};

/// Longest wait for the platform to hold what a node acknowledges to its
/// upstream. Without an answer, the upstream repeats its message.
inline constexpr std::chrono::milliseconds max_upstream_store_time{900};

/// What became of an announcement.
enum class announcement_outcome
{
    accepted,
    /// A newer announcement of the same start has been accepted.
    late,
    /// The start has deregistered.
    withdrawn,
    /// A later start announces itself.
    replaced,
    /// The start lies in the future, so that it is no start of this upstream.
    in_future,
};

/// Holds the last announcement of the upstream on the node's VM. Thread-safe.
class local_upstream
{
public:
    /// An announcement expires after `lifetime`.
    local_upstream(const clock& time, std::chrono::milliseconds lifetime);

    /// Makes `current` return nothing until `end_wait_for_earlier_state`: until
    /// then an announcement may be one that a departure follows.
    void wait_for_earlier_state();
    void end_wait_for_earlier_state();

    /// Stores an announcement and its arrival time, or ignores it if it does
    /// not follow the stored one or if its instance has been withdrawn. Once
    /// the stored one has expired, an earlier start that still announces itself
    /// takes its place: the later one was not that of the running upstream. A
    /// draining announcement is final for its start, and for earlier ones of
    /// the same name.
    announcement_outcome announce(const upstream_announcement& announcement);

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

    /// Returns the starts that get no work any more, in the order of their
    /// names and times, without sequence numbers.
    [[nodiscard]] std::vector<acknowledged_upstream> departures() const;

private:
    [[nodiscard]] bool expired() const;
    [[nodiscard]] bool was_withdrawn(const announcement_version& order) const;
    [[nodiscard]] bool is_in_future(std::optional<std::uint64_t> wall_ms) const;
    /// Returns the newest announcement of the same start, if one is known.
    [[nodiscard]] const announcement_version*
    find_newest(const announcement_version& order) const;
    [[nodiscard]] std::optional<announcement_outcome>
    find_objection(const upstream_announcement& announcement) const;
    /// Ends the use of a start, and of earlier ones of the same name.
    void add_departure(const announcement_version& order);
    /// Returns the time up to which starts of the same name have left when this
    /// start has.
    [[nodiscard]] std::uint64_t
    end_of_withdrawal(const announcement_version& order) const;
    void take_over(const acknowledged_upstream& earlier);
    /// Makes another start of the upstream the last one, and keeps what is
    /// acknowledged among the others.
    void change_start(const announcement_version& order);
    /// Adds what is known of another start.
    void add_other(const acknowledged_upstream& other);

    const clock& time_;
    std::chrono::milliseconds lifetime_;
    mutable std::mutex mutex_;
    std::optional<upstream_announcement> last_;
    std::optional<acknowledged_upstream> acknowledged_;
    /// When the last announcement arrived, or what an earlier process has
    /// acknowledged was restored.
    steady_time announced_at_;
    /// What is known of upstreams and starts other than the last one.
    std::deque<acknowledged_upstream> others_;
    bool waits_for_earlier_state_ = false;
};

} // namespace hemlockshelf

#endif
