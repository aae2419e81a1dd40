#include "adapters/telemetry/event_log.hpp"

#include <atomic>
#include <memory>

#include <fmt/format.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "adapters/telemetry/json_log_formatter.hpp"

namespace hemlockshelf {

namespace {

std::atomic<log_format> current_format = log_format::text;

std::string
to_text(std::string_view event, std::initializer_list<log_field> fields)
{
    std::string line(event);
    for (const auto& field : fields)
    {
        line += fmt::format(" {}={}", field.name_, field.value_.dump());
    }
    return line;
}

std::string
to_json_text(std::string_view event, std::initializer_list<log_field> fields)
{
    nlohmann::json line{{"event", event}};
    for (const auto& field : fields)
    {
        line[std::string(field.name_)] = field.value_;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void configure_log(log_format format, spdlog::level::level_enum level)
{
    current_format = format;
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    auto logger =
        std::make_shared<spdlog::logger>("hemlockshelf", std::move(sink));
    if (format == log_format::json)
    {
        logger->set_formatter(std::make_unique<json_log_formatter>());
    }
    else
    {
        logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l %v");
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

void log_event(
    spdlog::level::level_enum level,
    std::string_view event,
    std::initializer_list<log_field> fields)
{
    auto* logger = spdlog::default_logger_raw();
    if (!logger->should_log(level))
    {
        return;
    }
    const auto line = current_format == log_format::json
                          ? to_json_text(event, fields)
                          : to_text(event, fields);
    logger->log(level, "{}", line);
}

} // namespace hemlockshelf
