#include "adapters/http/session_group.hpp"

#include <chrono>

#include "adapters/http/relay_session.hpp"

namespace hemlockshelf {

bool session_group::add(
    const std::shared_ptr<relay_session>& session, std::size_t limit)
{
    const std::lock_guard lock(mutex_);
    if (sessions_.size() >= limit)
    {
        return false;
    }
    sessions_.emplace(session.get(), session);
    return true;
}

void session_group::remove(const relay_session* session)
{
    const std::lock_guard lock(mutex_);
    sessions_.erase(session);
    changed_.notify_all();
}

void session_group::begin_call()
{
    ++calls_;
}

void session_group::end_call()
{
    if (--calls_ == 0 && draining_)
    {
        const std::lock_guard lock(mutex_);
        changed_.notify_all();
    }
}

bool session_group::wait_for_calls(steady_time limit)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_until(
        lock, limit,
        [this]
        {
            return calls_ == 0;
        });
}

void session_group::close_idle()
{
    for (const auto& session : all())
    {
        session->close_if_idle();
    }
}

void session_group::refuse_unforwarded()
{
    refusing_ = true;
    for (const auto& session : all())
    {
        session->refuse_unforwarded();
    }
}

void session_group::close_all()
{
    for (const auto& session : all())
    {
        session->close_now();
    }
}

bool session_group::wait_for_sessions(steady_time limit)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_until(
        lock, limit,
        [this]
        {
            return sessions_.empty();
        });
}

std::vector<std::shared_ptr<relay_session>> session_group::all() const
{
    std::vector<std::shared_ptr<relay_session>> held;
    const std::lock_guard lock(mutex_);
    held.reserve(sessions_.size());
    for (const auto& entry : sessions_)
    {
        if (auto session = entry.second.lock())
        {
            held.push_back(std::move(session));
        }
    }
    return held;
}

} // namespace hemlockshelf
