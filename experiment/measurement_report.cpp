#include "experiment/measurement_report.hpp"

#include <cstdlib>
#include <thread>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "experiment/settings_files.hpp"

namespace hemlockshelf {

namespace {

std::string to_markdown(
    const std::string& name,
    const report_conditions& conditions,
    const measurements& measured)
{
    auto text = fmt::format(
        "# Measurement: {}\n\n"
        "Mesh of {} on loopback, commit {}, {} cores, load average {:.1f} "
        "before and {:.1f} after.\n\n"
        "| quantity | unit | n | minimum | median | p99 | maximum | note |\n"
        "|---|---|---:|---:|---:|---:|---:|---|\n",
        name, conditions.user_, conditions.commit_,
        std::thread::hardware_concurrency(), conditions.load_before_,
        conditions.load_after_);
    for (const auto& item : measured)
    {
        const auto& values = item.values_;
        text += fmt::format(
            "| {} | {} | {} | {:.2f} | {:.2f} | {:.2f} | {:.2f} | {} |\n",
            item.name_, item.unit_, values.count_, values.minimum_,
            values.median_, values.p99_, values.maximum_, item.note_);
    }
    return text;
}

nlohmann::json to_json(
    const std::string& name,
    const report_conditions& conditions,
    const measurements& measured)
{
    auto items = nlohmann::json::array();
    for (const auto& item : measured)
    {
        items.push_back(
            {{"name", item.name_},
             {"unit", item.unit_},
             {"count", item.values_.count_},
             {"minimum", item.values_.minimum_},
             {"median", item.values_.median_},
             {"p99", item.values_.p99_},
             {"maximum", item.values_.maximum_},
             {"note", item.note_}});
    }
    return {
        {"measurement", name},
        {"user", conditions.user_},
        {"commit", conditions.commit_},
        {"cores", std::thread::hardware_concurrency()},
        {"load_average_before", conditions.load_before_},
        {"load_average_after", conditions.load_after_},
        {"figures", std::move(items)}};
}

} // namespace

double load_average()
{
    double load = 0;
    return ::getloadavg(&load, 1) == 1 ? load : -1;
}

void write_report(
    const std::string& folder,
    const std::string& name,
    const report_conditions& conditions,
    const measurements& measured)
{
    const auto path = folder + "/" + name;
    write_file(
        path + ".json", to_json(name, conditions, measured).dump(1) + "\n");
    write_file(path + ".md", to_markdown(name, conditions, measured));
}

} // namespace hemlockshelf
