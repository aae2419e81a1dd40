#include "adapters/telemetry/json_log_formatter.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <spdlog/details/log_msg.h>

#include "hemlockshelf/core/json_text.hpp"

namespace hemlockshelf {

namespace {

std::string utc_time(std::chrono::system_clock::time_point time)
{
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            time.time_since_epoch()) %
        std::chrono::seconds{1};
    return fmt::format(
        "{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
        fmt::gmtime(std::chrono::system_clock::to_time_t(time)),
        milliseconds.count());
}

nlohmann::json to_fields(std::string_view payload)
{
    if (payload.starts_with('{'))
    {
        auto parsed = nlohmann::json::parse(payload, nullptr, false);
        if (parsed.is_object())
        {
            return parsed;
        }
    }
    return {{"message", payload}};
}

} // namespace

json_log_formatter::json_log_formatter(log_origin origin)
    : origin_(std::move(origin))
{}

void json_log_formatter::format(
    const spdlog::details::log_msg& message, spdlog::memory_buf_t& destination)
{
    auto line = to_fields({message.payload.data(), message.payload.size()});
    const auto level = spdlog::level::to_string_view(message.level);
    line["level"] = std::string(level.data(), level.size());
    line["time"] = utc_time(message.time);
    line["thread"] = message.thread_id;
    line["vm"] = origin_.vm_.value();
    line["failure_domain"] = origin_.failure_domain_.value();
    const auto text = to_json_text(line) + "\n";
    destination.append(text.data(), text.data() + text.size());
}

std::unique_ptr<spdlog::formatter> json_log_formatter::clone() const
{
    return std::make_unique<json_log_formatter>(origin_);
}

} // namespace hemlockshelf
