#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_SESSION_GROUP_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_SESSION_GROUP_HPP

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

class relay_session;

/// The client connections of the listeners, which the group drains and closes
/// when the node leaves. Thread-safe.
class session_group
{
public:
    /// Adds a connection. Returns false if there are already `limit`.
    bool add(const std::shared_ptr<relay_session>& session, std::size_t limit);
    void remove(const relay_session* session);

    void begin_call();
    void end_call();

    /// Makes each connection close after its current answer.
    void drain() noexcept
    {
        draining_ = true;
    }

    [[nodiscard]] bool draining() const noexcept
    {
        return draining_;
    }

    /// Waits until no call is in progress. Returns false if `limit` is reached
    /// first.
    bool wait_for_calls(steady_time limit);

    /// Closes the connections on which no request is in progress. The others
    /// close after their current answer if the group drains.
    void close_idle();

    /// Sets when the calls in progress end at the latest. A request that may
    /// take longer is not forwarded from now on, and a connection that is still
    /// accepted is closed unless it has sent one.
    void set_end(steady_time end) noexcept
    {
        end_ = end;
    }

    [[nodiscard]] bool has_end() const noexcept
    {
        return end_.load() != steady_time::max();
    }

    /// Returns whether a call with this deadline may still be in progress when
    /// the group ends.
    [[nodiscard]] bool ends_before(steady_time deadline) const noexcept
    {
        return end_.load() < deadline;
    }

    /// Refuses all current and later requests of which nothing has been
    /// forwarded. Requests that were forwarded are left to finish.
    void refuse_unforwarded();

    [[nodiscard]] bool refusing() const noexcept
    {
        return refusing_;
    }

    /// Closes every connection at once.
    void close_all();

    /// Waits until every connection is closed. Returns false if `limit` is
    /// reached first.
    bool wait_for_sessions(steady_time limit);

private:
    std::vector<std::shared_ptr<relay_session>> live_sessions() const;

    std::atomic<bool> draining_ = false;
    std::atomic<bool> refusing_ = false;
    std::atomic<steady_time> end_ = steady_time::max();
    std::atomic<std::size_t> calls_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::unordered_map<const relay_session*, std::weak_ptr<relay_session>>
        sessions_;
};

} // namespace hemlockshelf

#endif
