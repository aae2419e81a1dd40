#include "node/departure_agent.hpp"

#include <algorithm>
#include <exception>
#include <iterator>
#include <utility>

#include "adapters/telemetry/event_log.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

namespace {

constexpr std::chrono::milliseconds first_retry_delay{100};
constexpr std::chrono::milliseconds longest_retry_delay{1000};

} // namespace

departure_agent::departure_agent(
    table_service& tables,
    const vm_id& vm,
    local_upstream& upstream,
    load_handler on_load)
    : tables_(tables), row_(tables, vm, upstream), on_load_(std::move(on_load))
{}

departure_agent::~departure_agent()
{
    stop();
}

void departure_agent::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void departure_agent::save(std::function<void()> done)
{
    const std::lock_guard lock(mutex_);
    waiting_.push_back(std::move(done));
    start();
    wake_.notify_all();
}

void departure_agent::load()
{
    save([] {});
}

void departure_agent::assume_absent()
{
    const std::lock_guard lock(mutex_);
    // A running thread reads the row itself.
    if (!thread_.joinable())
    {
        row_.assume_absent();
    }
}

void departure_agent::start()
{
    if (!stopping_ && !thread_.joinable())
    {
        thread_ = std::thread(
            [this]
            {
                run();
            });
    }
}

void departure_agent::reload()
{
    const std::lock_guard lock(mutex_);
    reload_ = true;
    check_again();
}

void departure_agent::restore_in(platform_era era)
{
    const std::lock_guard lock(mutex_);
    required_era_ = std::max(required_era_, era);
    check_again();
}

// Requires the lock. Without a thread, nothing has been written.
void departure_agent::check_again()
{
    if (thread_.joinable())
    {
        waiting_.emplace_back([] {});
        wake_.notify_all();
    }
}

void departure_agent::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        auto waiting = std::exchange(waiting_, {});
        if (std::exchange(reload_, false))
        {
            row_.forget();
        }
        row_.require(required_era_);
        lock.unlock();
        const bool updated = update();
        if (updated)
        {
            for (const auto& done : std::exchange(waiting, {}))
            {
                done();
            }
        }
        const auto delay = retry_delay();
        lock.lock();
        if (updated)
        {
            wake_.wait(
                lock,
                [this]
                {
                    return stopping_ || !waiting_.empty();
                });
            continue;
        }
        waiting_.insert(
            waiting_.begin(), std::make_move_iterator(waiting.begin()),
            std::make_move_iterator(waiting.end()));
        wake_.wait_for(
            lock, delay,
            [this]
            {
                return stopping_;
            });
    }
}

/// Returns whether the row holds all departures.
bool departure_agent::update()
{
    result<void> saved;
    try
    {
        saved = row_.save();
    }
    catch (const std::exception& failure)
    {
        saved = make_error(error_kind::internal, failure.what());
    }
    if (!saved)
    {
        log_event<log_event_id::departures_unavailable>(
            log_fields::error_kind(saved.error().kind_),
            log_fields::detail(saved.error().message_));
    }
    failures_ = saved ? 0 : failures_ + 1;
    report_load(saved.has_value());
    return saved.has_value();
}

void departure_agent::report_load(bool loaded)
{
    if (!loaded_ && (loaded || failures_ == 1))
    {
        on_load_(loaded);
    }
    loaded_ = loaded_ || loaded;
}

std::chrono::milliseconds departure_agent::retry_delay()
{
    constexpr std::uint32_t doublings = 4;
    const auto longest = std::min(
        longest_retry_delay,
        first_retry_delay * (1U << std::min(failures_, doublings)));
    // Jitter, so that the nodes of a deployment do not return at once.
    const std::chrono::milliseconds delay{
        longest.count() / 2 +
        static_cast<std::int64_t>(
            random_() % static_cast<std::uint64_t>(longest.count() / 2 + 1))};
    return std::max(delay, tables_.retry_after());
}

} // namespace hemlockshelf
