#include "node/platform_poller.hpp"

#include <cstddef>
#include <exception>
#include <utility>

#include "adapters/telemetry/event_log.hpp"
#include "hemlockshelf/editing/config_reader.hpp"
#include "hemlockshelf/editing/snapshot_blob.hpp"
#include "node/poll_policy.hpp"
#include "node/published_config.hpp"

namespace hemlockshelf {

namespace {

constexpr std::size_t changes_per_read = 256;

} // namespace

platform_poller::platform_poller(
    polled_services services,
    config_manager& config,
    std::chrono::milliseconds interval,
    const clock& time,
    report_handler on_report)
    : services_(services), config_(config), interval_(interval), time_(time),
      on_report_(std::move(on_report))
{}

platform_poller::~platform_poller()
{
    stop();
}

void platform_poller::start()
{
    thread_ = std::thread(
        [this]
        {
            run();
        });
    task_thread_ = std::thread(
        [this]
        {
            run_tasks();
        });
}

void platform_poller::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (services_.configurations_ != nullptr)
    {
        services_.configurations_->cancel();
    }
    for (auto* thread : {&thread_, &task_thread_})
    {
        if (thread->joinable())
        {
            thread->join();
        }
    }
}

void platform_poller::set_mode(poll_mode mode)
{
    const std::lock_guard lock(mutex_);
    const bool wakes = mode_ == poll_mode::off && mode != poll_mode::off;
    // A node that becomes a reader polls at once instead of waiting for its
    // next poll of the head.
    const bool follows = mode_ != mode && mode == poll_mode::follow;
    polls_ = mode_ == mode ? polls_ : 0;
    mode_ = mode;
    poll_now_ = poll_now_ || follows;
    if (wakes || follows)
    {
        wake_.notify_all();
    }
}

void platform_poller::poll_now()
{
    const std::lock_guard lock(mutex_);
    poll_now_ = true;
    wake_.notify_all();
}

void platform_poller::run_task(std::function<void(table_service&)> task)
{
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
    wake_.notify_all();
}

void platform_poller::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        const auto mode =
            std::exchange(poll_now_, false) ? poll_mode::follow : mode_;
        lock.unlock();
        bool answered = false;
        try
        {
            answered = poll(mode);
        }
        catch (const std::exception& failure)
        {
            log_event<log_event_id::polling_failed>(
                log_fields::detail(failure.what()));
        }
        lock.lock();
        const auto has_work = [this]
        {
            return stopping_ || poll_now_;
        };
        if (mode_ == poll_mode::off)
        {
            wake_.wait(
                lock,
                [&]
                {
                    return has_work() || mode_ != poll_mode::off;
                });
        }
        else
        {
            ++polls_;
            wake_.wait_for(lock, delay_after(answered), has_work);
        }
    }
}

// In the mode `follow`, a call to a configuration source waits for the next
// configuration, so an answered poll is followed by the next one at once, and
// so is the first one that fails: its timeout has taken most of the time in
// which a revision must be in force. A call for the head alone does not wait.
std::chrono::milliseconds platform_poller::delay_after(bool answered)
{
    failures_ = answered ? 0 : failures_ + 1;
    if (services_.configurations_ != nullptr && failures_ <= 1 &&
        mode_ == poll_mode::follow)
    {
        return std::chrono::milliseconds{0};
    }
    return next_poll_delay(mode_, interval_, polls_, random_);
}

void platform_poller::run_tasks()
{
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        const auto tasks = std::exchange(tasks_, {});
        lock.unlock();
        for (const auto& task : tasks)
        {
            try
            {
                task(services_.tables_);
            }
            catch (const std::exception& failure)
            {
                log_event<log_event_id::polling_failed>(
                    log_fields::detail(failure.what()));
            }
        }
        lock.lock();
        wake_.wait(
            lock,
            [this]
            {
                return stopping_ || !tasks_.empty();
            });
    }
}

bool platform_poller::poll(poll_mode mode)
{
    if (mode == poll_mode::off)
    {
        return true;
    }
    poll_report report;
    if (services_.configurations_ != nullptr)
    {
        // A joining node needs the platform's revision at once.
        const auto wait = mode == poll_mode::head_only
                              ? std::chrono::milliseconds{0}
                              : published_wait;
        report =
            follow_published(*services_.configurations_, config_, wait, time_);
    }
    else if (const auto head = read_head(services_.tables_))
    {
        report.answered_ = true;
        report.head_ = head->revision_;
        if (mode == poll_mode::follow)
        {
            read_deltas(report);
        }
    }
    const bool answered = report.answered_;
    on_report_(std::move(report));
    return answered;
}

// Loads the newest blob instead of reading every change row, for a node that is
// far behind.
bool platform_poller::apply_newest_blob(revision head)
{
    const auto snapshot = catch_up(
        services_.tables_, services_.objects_, config_.current(), head);
    return snapshot && config_.apply_snapshot(*snapshot, apply_source::poll);
}

void platform_poller::read_deltas(poll_report& report)
{
    if (report.head_.value() >
            config_.current_revision().value() + changes_per_read &&
        apply_newest_blob(report.head_))
    {
        return;
    }
    while (config_.current_revision() < report.head_)
    {
        const auto before = config_.current_revision();
        const auto records =
            read_changes(services_.tables_, before, changes_per_read);
        if (!records)
        {
            return;
        }
        std::vector<accepted_delta> deltas;
        for (const auto& record : *records)
        {
            deltas.push_back({record.delta_, record.audit_.at_});
        }
        const auto applied = config_.apply(deltas, apply_source::poll);
        if (!applied)
        {
            log_event<log_event_id::change_rows_rejected>(
                log_fields::revision(before),
                log_fields::error_kind(applied.error().kind_),
                log_fields::detail(applied.error().message_));
        }
        if (config_.current_revision() == before)
        {
            return;
        }
        report.deltas_ = std::move(deltas);
    }
}

} // namespace hemlockshelf
