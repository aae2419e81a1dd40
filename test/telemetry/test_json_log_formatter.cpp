#include "adapters/telemetry/json_log_formatter.hpp"

#include <string>

#include <nlohmann/json.hpp>
#include <spdlog/details/log_msg.h>

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

nlohmann::json format(const std::string& payload)
{
    json_log_formatter formatter({vm_id{"vm-1"}, failure_domain_id{"d"}});
    spdlog::memory_buf_t buffer;
    formatter.format(
        spdlog::details::log_msg("test", spdlog::level::info, payload), buffer);
    const std::string line(buffer.data(), buffer.size());
    cr_assert(line.back() == '\n');
    cr_assert(line.find('\n') == line.size() - 1);
    return nlohmann::json::parse(line);
}

} // namespace

// Guards against text that breaks the line or its JSON.
Test(json_log_formatter, a_message_is_escaped)
{
    const auto line = format("a \"quoted\"\nmessage \xff");
    cr_assert(line.at("level") == "info");
    cr_assert(line.at("message").get<std::string>().starts_with("a \"quoted"));
}

// Guards against fields that end up inside a message.
Test(json_log_formatter, fields_become_members)
{
    const auto line = format(R"({"event":"config_applied","revision":7})");
    cr_assert(line.at("revision") == 7);
    cr_assert(line.at("event") == "config_applied");
    cr_assert(line.contains("time"));
}
