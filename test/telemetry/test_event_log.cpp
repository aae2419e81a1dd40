#include "adapters/telemetry/event_log.hpp"

#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <spdlog/sinks/ostream_sink.h>

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

/// Collects the lines of the process's log.
class log_capture
{
public:
    explicit log_capture(
        log_format format,
        spdlog::level::level_enum level = spdlog::level::trace)
    {
        configure_log(
            format, level, {vm_id{"vm-1"}, failure_domain_id{"salle-100%d"}},
            std::make_shared<spdlog::sinks::ostream_sink_mt>(text_));
    }

    [[nodiscard]] std::string text() const
    {
        return text_.str();
    }

    [[nodiscard]] nlohmann::json line() const
    {
        return nlohmann::json::parse(text());
    }

private:
    std::ostringstream text_;
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

nlohmann::json sample_of(const log_field_info& field)
{
    if (field.type_ == "number")
    {
        return 7;
    }
    if (field.type_ == "boolean")
    {
        return true;
    }
    cr_assert(field.type_ == "string");
    return "sample";
}

std::vector<log_field> samples_for(const log_event_info& event)
{
    std::vector<log_field> fields;
    for (const auto& field : log_field_table())
    {
        if (event.fields_.contains(field.id_))
        {
            fields.push_back({field.id_, sample_of(field)});
        }
    }
    return fields;
}

/// The members that the formatter writes into each line.
const std::set<std::string> common_members{"time",  "level", "thread",
                                           "event", "vm",    "failure_domain"};

void check_members(const log_event_info& event, const nlohmann::json& line)
{
    const auto fields = samples_for(event);
    cr_assert(line.at("event") == std::string(event.name_));
    cr_assert(line.size() == common_members.size() + fields.size());
    for (const auto& field : fields)
    {
        const auto& info =
            log_field_table()[static_cast<std::size_t>(field.id_)];
        cr_assert(line.at(std::string(info.name_)) == field.value_);
    }
}

} // namespace

// Guards against an event that loses a field on its way into a JSON line, for
// example to a member of the same name that the formatter writes.
Test(event_log, each_event_keeps_its_fields_as_json)
{
    for (const auto& event : log_event_table)
    {
        const log_capture capture(log_format::json);
        write_log_event(event, samples_for(event));
        check_members(event, capture.line());
    }
}

// Guards against an event that loses a field on its way into a text line.
Test(event_log, each_event_keeps_its_fields_as_text)
{
    for (const auto& event : log_event_table)
    {
        const log_capture capture(log_format::text);
        write_log_event(event, samples_for(event));
        const auto text = capture.text();
        cr_assert(contains(text, " " + std::string(event.name_)));
        for (const auto& field : samples_for(event))
        {
            const auto& info =
                log_field_table()[static_cast<std::size_t>(field.id_)];
            cr_assert(contains(
                text,
                " " + std::string(info.name_) + "=" + field.value_.dump()));
        }
    }
}

// Guards against names that collide with each other or with the members that
// every line has.
Test(event_log, names_are_unique)
{
    auto fields = common_members;
    for (const auto& field : log_field_table())
    {
        cr_assert(fields.emplace(field.name_).second);
    }
    std::set<std::string> events;
    for (const auto& event : log_event_table)
    {
        cr_assert(events.emplace(event.name_).second);
    }
}

// Guards against values that are all written as text, so that a search by
// number fails.
Test(event_log, values_keep_their_types)
{
    const log_capture capture(log_format::json);
    log_event<log_event_id::push_rejected>(
        log_fields::peer(vm_id{"vm-2"}), log_fields::origin(vm_id{"vm-3"}),
        log_fields::revision(revision{41}),
        log_fields::error_kind(error_kind::hash_mismatch),
        log_fields::detail("a \"quoted\"\ntext \xff"));
    const auto line = capture.line();
    cr_assert(line.at("event") == "push_rejected");
    cr_assert(line.at("level") == "info");
    cr_assert(line.at("vm") == "vm-1");
    cr_assert(line.at("failure_domain") == "salle-100%d");
    cr_assert(line.at("peer") == "vm-2");
    cr_assert(line.at("origin") == "vm-3");
    cr_assert(line.at("revision") == 41);
    cr_assert(line.at("error_kind") == "hash_mismatch");
    cr_assert(line.at("detail").get<std::string>().starts_with("a \"quoted\""));
}

// Guards against text lines that do not tell which node wrote them, or whose
// names are read as placeholders of spdlog's pattern.
Test(event_log, a_text_line_names_its_node)
{
    const log_capture capture(log_format::text);
    log_event<log_event_id::process_paused>(
        log_fields::pause_ms(std::chrono::milliseconds{1500}));
    cr_assert(contains(
        capture.text(),
        "warning vm=\"vm-1\" failure_domain=\"salle-100%d\" process_paused "
        "pause_ms=1500"));
}

// Guards against events that ignore the level in force.
Test(event_log, an_event_below_the_level_is_not_written)
{
    const log_capture capture(log_format::json, spdlog::level::warn);
    log_event<log_event_id::revision_applied>(
        log_fields::revision(revision{1}), log_fields::source("push"));
    cr_assert(capture.text().empty());
}
