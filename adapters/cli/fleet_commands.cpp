#include <algorithm>
#include <charconv>
#include <iostream>
#include <thread>

#include <fmt/format.h>

#include "adapters/cli/admin_client.hpp"
#include "adapters/cli/commands.hpp"
#include "adapters/cli/fleet.hpp"
#include "adapters/cli/progress_bar.hpp"
#include "adapters/cli/text_table.hpp"

namespace hemlockshelf {

namespace {

constexpr std::chrono::milliseconds wait_poll_interval{200};

nlohmann::json to_json(const node_report& report)
{
    nlohmann::json json{
        {"vm", report.vm_},
        {"failure_domain", report.failure_domain_},
        {"region", report.region_},
        {"state", report.state_},
        {"problem", report.problem_}};
    json["revision"] =
        report.revision_ ? nlohmann::json(*report.revision_) : nullptr;
    return json;
}

std::string describe_lag(const node_report& report, std::uint64_t highest)
{
    if (!report.revision_)
    {
        return report.problem_;
    }
    if (*report.revision_ == highest)
    {
        return "current";
    }
    return fmt::format("{} revisions behind", highest - *report.revision_);
}

void print_fleet(const std::vector<node_report>& reports)
{
    const auto highest = highest_revision(reports);
    text_table table(
        {"VM", "FAILURE DOMAIN", "REGION", "STATE", "REVISION", "LAG"});
    for (const auto& report : reports)
    {
        table.add_row(
            {report.vm_, report.failure_domain_, report.region_, report.state_,
             report.revision_ ? fmt::to_string(*report.revision_) : "-",
             describe_lag(report, highest)});
    }
    std::cout << table.to_string();
}

std::size_t
count_at(const std::vector<node_report>& reports, std::uint64_t target)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        reports,
        [target](const node_report& report)
        {
            return report.revision_.value_or(0) >= target;
        }));
}

std::size_t count_reachable(const std::vector<node_report>& reports)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        reports,
        [](const node_report& report)
        {
            return report.revision_.has_value();
        }));
}

} // namespace

result<void>
run_status(const cli_options& options, const cli_arguments& /*given*/)
{
    const auto reports = survey_fleet(admin_client(options), options);
    if (!reports)
    {
        return tl::unexpected<error>(reports.error());
    }
    if (options.output_ == output_format::table)
    {
        print_fleet(*reports);
        return {};
    }
    auto nodes = nlohmann::json::array();
    for (const auto& report : *reports)
    {
        nodes.push_back(to_json(report));
    }
    std::cout << nodes.dump() << "\n";
    return {};
}

result<void>
run_drain(const cli_options& options, const cli_arguments& /*given*/)
{
    const auto answer =
        admin_client(options).post("/v1/drain", nlohmann::json::object());
    if (!answer)
    {
        return tl::unexpected<error>(answer.error());
    }
    std::cout << answer->dump() << "\n";
    return {};
}

result<void> run_wait(const cli_options& options, const cli_arguments& given)
{
    std::uint64_t target = 0;
    const auto& text = given.front();
    const auto* end = text.data() + text.size();
    if (std::from_chars(text.data(), end, target).ptr != end)
    {
        return make_error(
            error_kind::usage,
            fmt::format("wait: expected a revision, given \"{}\"", text));
    }
    const auto deadline = std::chrono::steady_clock::now() + options.timeout_;
    progress_bar bar;
    std::size_t done = 0;
    std::size_t reachable = 0;
    while (std::chrono::steady_clock::now() < deadline)
    {
        const auto reports = survey_fleet(admin_client(options), options);
        if (reports)
        {
            done = count_at(*reports, target);
            reachable = count_reachable(*reports);
            bar.show(done, reachable);
        }
        if (reports && reachable > 0 && done == reachable)
        {
            std::cout << fmt::format(
                "{} nodes run revision {} or later, {} did not answer\n", done,
                target, reports->size() - reachable);
            return {};
        }
        std::this_thread::sleep_for(wait_poll_interval);
    }
    return make_error(
        error_kind::deadline_exceeded,
        fmt::format(
            "wait: {} of {} nodes run revision {} after {} ms", done, reachable,
            target, options.timeout_.count()));
}

} // namespace hemlockshelf
