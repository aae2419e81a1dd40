#ifndef HEMLOCKSHELF_ADAPTERS_TELEMETRY_EVENT_LOG_HPP
#define HEMLOCKSHELF_ADAPTERS_TELEMETRY_EVENT_LOG_HPP

#include <initializer_list>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>
#include <spdlog/common.h>

#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Form of the log lines.
enum class log_format
{
    text,
    json,
};

/// A named value of a log line.
struct log_field
{
    std::string_view name_;
    nlohmann::json value_;
};

/// Sets up the process's log on standard error. Messages logged through spdlog
/// directly take the same form.
void configure_log(log_format format, spdlog::level::level_enum level);

/// Returns the level called `name`. The error is `bad_request`.
result<spdlog::level::level_enum> parse_log_level(const std::string& name);

/// Writes one line: the event's name and its fields. Fields must not hold
/// secrets.
void log_event(
    spdlog::level::level_enum level,
    std::string_view event,
    std::initializer_list<log_field> fields = {});

} // namespace hemlockshelf

#endif
