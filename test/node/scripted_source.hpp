#ifndef HEMLOCKSHELF_TEST_NODE_SCRIPTED_SOURCE_HPP
#define HEMLOCKSHELF_TEST_NODE_SCRIPTED_SOURCE_HPP

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <utility>

#include "hemlockshelf/config/configuration_source.hpp"

namespace hemlockshelf {

/// Source of published configurations whose answers are set by a test.
/// Thread-safe.
class scripted_source final : public configuration_source
{
public:
    result<published_read_result> wait_for_newer(
        const config_snapshot& held, std::chrono::milliseconds wait) override
    {
        std::unique_lock lock(mutex_);
        const auto is_newer = [this, &held]
        {
            return published_ && published_->number() > held.number();
        };
        changed_.wait_for(
            lock, std::min(wait, longest_wait),
            [&]
            {
                return cancelled_ || !answers_ || fails_next_ || is_newer();
            });
        if (!answers_ || std::exchange(fails_next_, false))
        {
            return make_error(
                error_kind::platform_unavailable, "refused by the test");
        }
        published_read_result read;
        read.is_behind_ = is_behind_;
        read.era_ = era_;
        if (is_newer())
        {
            read.newest_ = published_;
            read.documents_ = 1;
        }
        return read;
    }

    void cancel() override
    {
        const std::lock_guard lock(mutex_);
        cancelled_ = true;
        changed_.notify_all();
    }

    void set_answers(bool answers)
    {
        const std::lock_guard lock(mutex_);
        answers_ = answers;
        changed_.notify_all();
    }

    /// Lets one call fail, the one in progress or the next one.
    void fail_once()
    {
        const std::lock_guard lock(mutex_);
        fails_next_ = true;
        changed_.notify_all();
    }

    /// Makes the answers tell that the platform has lost the configuration.
    void set_behind(bool is_behind)
    {
        const std::lock_guard lock(mutex_);
        is_behind_ = is_behind;
    }

    /// Sets the era of the platform's tables that the answers state.
    void set_era(platform_era era)
    {
        const std::lock_guard lock(mutex_);
        era_ = era;
    }

    void publish(std::shared_ptr<const config_snapshot> snapshot)
    {
        const std::lock_guard lock(mutex_);
        published_ = std::move(snapshot);
        changed_.notify_all();
    }

private:
    /// Shorter than the time between two changes made by a test, so that each
    /// answer is observed.
    static constexpr std::chrono::milliseconds longest_wait{10};

    std::mutex mutex_;
    std::condition_variable changed_;
    bool answers_ = true;
    bool fails_next_ = false;
    bool is_behind_ = false;
    platform_era era_{1};
    bool cancelled_ = false;
    std::shared_ptr<const config_snapshot> published_;
};

} // namespace hemlockshelf

#endif
