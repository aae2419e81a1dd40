#ifndef HEMLOCKSHELF_NODE_PLATFORM_POLLER_HPP
#define HEMLOCKSHELF_NODE_PLATFORM_POLLER_HPP

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "hemlockshelf/config/configuration_source.hpp"
#include "hemlockshelf/core/random_source.hpp"
#include "hemlockshelf/editing/object_store.hpp"
#include "hemlockshelf/editing/table_service.hpp"
#include "node/config_manager.hpp"
#include "node/poll_report.hpp"
#include "node/poll_schedule.hpp"

namespace hemlockshelf {

/// Services that a poller reads.
struct polled_services
{
    table_service& tables_;
    object_store& objects_;
    /// Null if the tables hold the configuration.
    configuration_source* configurations_ = nullptr;
};

/// Polls the platform on its own thread, because its calls block and may last
/// until their timeout during an outage. Other calls to the platform run on a
/// second thread.
class platform_poller
{
public:
    using report_handler = std::function<void(poll_report)>;

    /// `on_report` is called on the poller's thread after each poll.
    platform_poller(
        polled_services services,
        config_manager& config,
        std::chrono::milliseconds interval,
        const clock& time,
        report_handler on_report);
    ~platform_poller();

    platform_poller(const platform_poller&) = delete;
    platform_poller& operator=(const platform_poller&) = delete;

    void start();
    void stop();

    void set_mode(poll_mode mode);

    /// Requests one poll in the mode `follow` as soon as possible.
    void poll_now();

    /// Queues a task that calls the platform. Tasks run in the order of their
    /// submission.
    void run_task(std::function<void(table_service&)> task);

private:
    void run();
    void run_tasks();
    [[nodiscard]] std::chrono::milliseconds delay_after(bool answered);
    bool poll(poll_mode mode);
    void read_deltas(poll_report& report);
    bool apply_newest_blob(revision head);

    polled_services services_;
    config_manager& config_;
    std::chrono::milliseconds interval_;
    const clock& time_;
    report_handler on_report_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    bool poll_now_ = false;
    poll_mode mode_ = poll_mode::off;
    /// Polls since the mode was set.
    std::uint32_t polls_ = 0;
    /// Polls that failed since one was answered. Used on the poller's thread.
    std::uint32_t failures_ = 0;
    random_source random_{std::random_device{}()};
    std::vector<std::function<void(table_service&)>> tasks_;
    std::thread thread_;
    std::thread task_thread_;
};

} // namespace hemlockshelf

#endif
