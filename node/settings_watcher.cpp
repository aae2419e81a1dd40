#include "node/settings_watcher.hpp"

#include <chrono>
#include <csignal>
#include <system_error>
#include <utility>

#include <spdlog/spdlog.h>

#include "adapters/telemetry/event_log.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

namespace {

// Interval for checking the file's modification time, because a platform may
// change the file without a signal. A check costs one system call.
constexpr std::chrono::seconds check_interval{2};

std::filesystem::file_time_type time_of(const std::string& path)
{
    std::error_code missing;
    const auto time = std::filesystem::last_write_time(path, missing);
    return missing ? std::filesystem::file_time_type{} : time;
}

} // namespace

settings_watcher::settings_watcher(
    boost::asio::io_context& context, std::string path, reader read)
    : path_(std::move(path)), read_(std::move(read)),
      changed_at_(time_of(path_)), signals_(context, SIGHUP), timer_(context)
{
    await_signal();
    await_change();
}

void settings_watcher::await_signal()
{
    signals_.async_wait(
        [this](const boost::system::error_code& failure, int)
        {
            if (!failure)
            {
                reload("signal");
                await_signal();
            }
        });
}

void settings_watcher::await_change()
{
    timer_.expires_after(check_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& failure)
        {
            if (failure)
            {
                return;
            }
            if (time_of(path_) != changed_at_)
            {
                reload("file_changed");
            }
            await_change();
        });
}

void settings_watcher::reload(std::string_view cause)
{
    changed_at_ = time_of(path_);
    const auto settings = read_();
    if (!settings)
    {
        log_event<log_event_id::settings_rejected>(
            log_fields::source(cause),
            log_fields::error_kind(settings.error().kind_),
            log_fields::detail(settings.error().message_));
        return;
    }
    if (const auto level = parse_log_level(settings->log_level_))
    {
        spdlog::set_level(*level);
    }
    log_event<log_event_id::settings_reloaded>(
        log_fields::source(cause), log_fields::new_level(settings->log_level_));
}

} // namespace hemlockshelf
