#include "adapters/telemetry/event_log.hpp"

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include "adapters/telemetry/json_log_formatter.hpp"
#include "adapters/telemetry/nonblocking_sink.hpp"
#include "hemlockshelf/core/json_text.hpp"
#include "hemlockshelf/core/real_clock.hpp"

namespace hemlockshelf {

namespace {

std::atomic<log_format> current_format = log_format::text;
std::shared_ptr<nonblocking_sink> standard_output;

/// Holds the lines about requests to their rate.
class request_line_limiter
{
public:
    bool take()
    {
        std::uint64_t left_out = 0;
        {
            const std::lock_guard lock(mutex_);
            const auto now = time_.now();
            if (!try_take(bucket_, request_line_rate, now))
            {
                ++left_out_;
                return false;
            }
            if (now >= next_report_)
            {
                next_report_ = now + report_interval;
                left_out = std::exchange(left_out_, 0);
                left_out += standard_output == nullptr
                                ? 0
                                : standard_output->take_left_out();
            }
        }
        if (left_out > 0)
        {
            log_event<log_event_id::lines_left_out>(
                log_fields::lines(left_out));
        }
        return true;
    }

private:
    static constexpr std::chrono::seconds report_interval{1};

    real_clock time_;
    std::mutex mutex_;
    token_bucket bucket_{request_line_rate.burst_, {}};
    steady_time next_report_;
    std::uint64_t left_out_ = 0;
};

std::string_view name_of(const log_field& field)
{
    return log_field_table()[static_cast<std::size_t>(field.id_)].name_;
}

std::string
to_text(const log_event_info& event, std::span<const log_field> fields)
{
    std::string line(event.name_);
    for (const auto& field : fields)
    {
        line +=
            fmt::format(" {}={}", name_of(field), to_json_text(field.value_));
    }
    return line;
}

std::string
to_json_line(const log_event_info& event, std::span<const log_field> fields)
{
    nlohmann::json line{{"event", event.name_}};
    for (const auto& field : fields)
    {
        line[std::string(name_of(field))] = field.value_;
    }
    return to_json_text(line);
}

/// Returns the pattern of spdlog for text lines. A percent sign begins a
/// placeholder in it and is doubled.
std::string text_pattern(const log_origin& origin)
{
    const auto names = fmt::format(
        "vm={} failure_domain={}", to_json_text(origin.vm_.value()),
        to_json_text(origin.failure_domain_.value()));
    std::string pattern = "%Y-%m-%dT%H:%M:%S.%e%z %l ";
    for (const char letter : names)
    {
        pattern.append(letter == '%' ? 2 : 1, letter);
    }
    return pattern + " %v";
}

} // namespace

void configure_log(
    log_format format,
    spdlog::level::level_enum level,
    const log_origin& origin)
{
    auto sink = std::make_shared<nonblocking_sink>(STDOUT_FILENO);
    standard_output = sink;
    configure_log(format, level, origin, std::move(sink));
}

bool may_write_request_line()
{
    static request_line_limiter limiter;
    return limiter.take();
}

void configure_log(
    log_format format,
    spdlog::level::level_enum level,
    const log_origin& origin,
    spdlog::sink_ptr sink)
{
    current_format = format;
    auto logger =
        std::make_shared<spdlog::logger>("hemlockshelf", std::move(sink));
    if (format == log_format::json)
    {
        logger->set_formatter(std::make_unique<json_log_formatter>(origin));
    }
    else
    {
        logger->set_pattern(text_pattern(origin));
    }
    logger->set_level(level);
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

result<spdlog::level::level_enum> parse_log_level(const std::string& name)
{
    for (const auto level :
         {spdlog::level::trace, spdlog::level::debug, spdlog::level::info,
          spdlog::level::warn, spdlog::level::err, spdlog::level::off})
    {
        const auto known = spdlog::level::to_string_view(level);
        if (name == std::string_view(known.data(), known.size()))
        {
            return level;
        }
    }
    return make_error(
        error_kind::bad_request,
        fmt::format(
            "log level: expected trace, debug, info, warning, error or off, "
            "given \"{}\"",
            name));
}

void write_log_event(
    const log_event_info& event, std::span<const log_field> fields)
{
    auto* logger = spdlog::default_logger_raw();
    if (!logger->should_log(event.level_))
    {
        return;
    }
    const auto line = current_format == log_format::json
                          ? to_json_line(event, fields)
                          : to_text(event, fields);
    logger->log(event.level_, "{}", line);
}

} // namespace hemlockshelf
