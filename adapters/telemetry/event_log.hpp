#ifndef HEMLOCKSHELF_ADAPTERS_TELEMETRY_EVENT_LOG_HPP
#define HEMLOCKSHELF_ADAPTERS_TELEMETRY_EVENT_LOG_HPP

#include <array>
#include <span>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>
#include <spdlog/common.h>

#include "adapters/telemetry/log_event_table.hpp"
#include "adapters/telemetry/log_fields.hpp"
#include "adapters/telemetry/log_origin.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/token_bucket.hpp"

namespace hemlockshelf {

/// Form of the log lines.
enum class log_format
{
    text,
    json,
};

/// A field of one log line.
struct log_field
{
    log_field_id id_;
    nlohmann::json value_;
};

/// Most lines of a process about requests, per second and in a burst. It bounds
/// what logging costs while most requests fail.
constexpr token_rate request_line_rate{200, 400};

/// Sets up the process's log on standard output, whose lines are left out when
/// the reader is too slow. Each line names `origin`.
void configure_log(
    log_format format,
    spdlog::level::level_enum level,
    const log_origin& origin);

/// As above, with the lines written to `sink`.
void configure_log(
    log_format format,
    spdlog::level::level_enum level,
    const log_origin& origin,
    spdlog::sink_ptr sink);

/// Returns the level called `name`. The error is `bad_request`.
result<spdlog::level::level_enum> parse_log_level(const std::string& name);

/// Writes one line. `log_event` checks the fields before it calls this.
void write_log_event(
    const log_event_info& event, std::span<const log_field> fields);

/// Takes a line about a request out of what the process may write. Lines that
/// it may not are counted and reported by `lines_left_out`.
bool may_write_request_line();

/// Like `log_event`, for the events that occur with requests: their number is
/// bounded.
template <log_event_id Event, log_field_id... Ids>
void log_request_event(log_value<Ids>... values);

/// Writes one line with the event's name and its fields, which must be those
/// that `log_event_table` lists; another set does not compile. Fields must not
/// hold secrets. Thread-safe.
template <log_event_id Event, log_field_id... Ids>
void log_event(log_value<Ids>... values)
{
    static_assert(
        log_field_set{Ids...} == info_of(Event).fields_,
        "the fields differ from those in log_event_table");
    const std::array<log_field, sizeof...(Ids)> fields{
        log_field{Ids, std::move(values.value_)}...};
    write_log_event(info_of(Event), fields);
}

template <log_event_id Event, log_field_id... Ids>
void log_request_event(log_value<Ids>... values)
{
    if (may_write_request_line())
    {
        log_event<Event>(std::move(values)...);
    }
}

} // namespace hemlockshelf

#endif
