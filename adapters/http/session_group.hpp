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

/// The connections that the listeners serve, and what they are to do when the
/// node leaves. Thread-safe.
class session_group
{
public:
    /// Counts a connection; false if there are already `limit`.
    bool add(const std::shared_ptr<relay_session>& session, std::size_t limit);
    void remove(const relay_session* session);

    void begin_call();
    void end_call();

    /// From now on each connection is closed after its current answer.
    void drain() noexcept
    {
        draining_ = true;
    }

    [[nodiscard]] bool draining() const noexcept
    {
        return draining_;
    }

    /// Waits until no call is in progress. False if `limit` came first.
    bool wait_for_calls(steady_time limit);

    /// Ends the connections that carry no request; those that carry one end
    /// with its answer if the group drains.
    void close_idle();

    /// Refuses the requests of which nothing has been passed on, now and from
    /// now on. Those that were passed on are left to finish.
    void refuse_unforwarded();

    [[nodiscard]] bool refusing() const noexcept
    {
        return refusing_;
    }

    /// Cuts every connection.
    void close_all();

    /// Waits until every connection has ended. False if `limit` came first.
    bool wait_for_sessions(steady_time limit);

private:
    std::vector<std::shared_ptr<relay_session>> all() const;

    std::atomic<bool> draining_ = false;
    std::atomic<bool> refusing_ = false;
    std::atomic<std::size_t> calls_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::unordered_map<const relay_session*, std::weak_ptr<relay_session>>
        sessions_;
};

} // namespace hemlockshelf

#endif
