#include "tools/reference/reference_pages.hpp"

#include <string_view>

#include <fmt/format.h>

#include "adapters/cli/command_table.hpp"
#include "adapters/settings/node_settings.hpp"
#include "adapters/telemetry/log_event_table.hpp"
#include "hemlockshelf/core/error_table.hpp"
#include "hemlockshelf/core/metric_id.hpp"

namespace hemlockshelf {

namespace {

std::string_view to_string(metric_type type)
{
    switch (type)
    {
    case metric_type::counter:
        return "counter";
    case metric_type::gauge:
        return "gauge";
    case metric_type::histogram:
        return "histogram";
    }
    return "";
}

std::string_view to_string(retry_advice advice)
{
    switch (advice)
    {
    case retry_advice::never:
        return "do not retry";
    case retry_advice::after_delay:
        return "retry after a delay";
    case retry_advice::query_outcome:
        return "find out whether it ran";
    }
    return "";
}

std::string command_page(const cli_command& command)
{
    return fmt::format(
        "# hemlockshelf {}\n\n{}\n\n"
        "| | |\n|---|---|\n"
        "| Synopsis | `hemlockshelf {} {}` |\n"
        "| Example | `{}` |\n"
        "| Exit codes | see [errors](../errors.md) |\n",
        command.name_, command.summary_, command.name_, command.arguments_,
        command.example_);
}

std::string setting_page(const setting_info& setting)
{
    return fmt::format(
        "# {}\n\n{}\n\n"
        "| | |\n|---|---|\n"
        "| Type | {} |\n"
        "| Default | {} |\n"
        "| Changed by | a restart of `hemlockshelfd` |\n",
        setting.path_, setting.help_, setting.type_,
        setting.fallback_.empty() ? "none; required" : setting.fallback_);
}

std::string metric_page(const metric_info& metric)
{
    return fmt::format(
        "# {}\n\n{}\n\n"
        "| | |\n|---|---|\n"
        "| Type | {} |\n"
        "| Label | {} |\n"
        "| Served at | `GET /metrics` on the admin address |\n",
        metric.name_, metric.help_, to_string(metric.type_),
        metric.label_.empty() ? "none" : metric.label_);
}

std::string event_page(const log_event_info& event)
{
    const auto level = spdlog::level::to_string_view(event.level_);
    auto page = fmt::format(
        "# {}\n\n{}\n\n"
        "| | |\n|---|---|\n"
        "| Level | {} |\n",
        event.name_, event.help_, std::string_view(level.data(), level.size()));
    for (const auto& field : log_field_table())
    {
        if (event.fields_.contains(field.id_))
        {
            page += fmt::format(
                "| Field `{}` | {}. {} |\n", field.name_, field.type_,
                field.help_);
        }
    }
    return page +
           "| Fields of every line | `time`, `level`, `thread`, `event`; `vm` "
           "and `failure_domain` of the node that logs |\n";
}

std::string errors_page()
{
    std::string page =
        "# Error kinds\n\n"
        "The name stands in the header `Hemlockshelf-Error` and in the field "
        "`error` of an\nanswer's body, and begins the command line's message."
        "\n\n"
        "| Name | HTTP status | Can have run | Advice | Exit code |\n"
        "|---|---|---|---|---|\n";
    for (const auto& answer : error_table())
    {
        page += fmt::format(
            "| `{}` | {} | {} | {} | {} |\n", answer.name_, answer.http_status_,
            answer.execution_ == execution::not_run ? "no" : "yes",
            to_string(answer.retry_), static_cast<int>(answer.exit_code_));
    }
    page += "\nThe exit code 0 means success.\n";
    return page;
}

std::string index_lines(const page_map& pages, std::string_view folder)
{
    std::string lines;
    for (const auto& page : pages)
    {
        if (page.first.starts_with(folder))
        {
            const auto title =
                page.second.substr(2, page.second.find('\n') - 2);
            lines += fmt::format("- [{}]({})\n", title, page.first);
        }
    }
    return lines;
}

} // namespace

page_map make_reference_pages()
{
    page_map pages;
    for (const auto& command : command_table())
    {
        pages[fmt::format("command/{}.md", command.name_)] =
            command_page(command);
    }
    for (const auto& setting : describe_node_settings())
    {
        pages[fmt::format("setting/{}.md", setting.path_)] =
            setting_page(setting);
    }
    for (const auto& metric : metric_table())
    {
        pages[fmt::format("metric/{}.md", metric.name_)] = metric_page(metric);
    }
    for (const auto& event : log_event_table)
    {
        pages[fmt::format("event/{}.md", event.name_)] = event_page(event);
    }
    const auto index = fmt::format(
        "# Reference\n\n"
        "These pages are written by `build/bin/hemlockshelf_reference`.\n\n"
        "## Commands\n\n{}\n## Settings\n\n{}\n## Metrics\n\n{}\n"
        "## Log events\n\n{}\n"
        "## Errors\n\n- [Error kinds](errors.md)\n",
        index_lines(pages, "command/"), index_lines(pages, "setting/"),
        index_lines(pages, "metric/"), index_lines(pages, "event/"));
    pages["errors.md"] = errors_page();
    pages["index.md"] = index;
    return pages;
}

} // namespace hemlockshelf
