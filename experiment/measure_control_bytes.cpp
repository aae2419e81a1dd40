#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "experiment/control_traffic.hpp"
#include "experiment/measured_edits.hpp"
#include "experiment/measured_mesh.hpp"
#include "experiment/measurement.hpp"
#include "experiment/node_metrics.hpp"
#include "experiment/slope_lines.hpp"

namespace hemlockshelf {

namespace {

constexpr std::chrono::seconds window{10};
constexpr std::chrono::seconds settle_time{15};
constexpr std::size_t measured_edits = 20;

constexpr std::array counted_metrics{
    std::string_view{"hemlockshelf_control_messages_total"},
    std::string_view{"hemlockshelf_config_applies_total"},
    std::string_view{"hemlockshelf_config_rejections_total"}};

/// Messages, applied revisions and rejections of the nodes, and the control
/// connections that were made, since their start.
struct traffic_counts
{
    std::array<std::vector<metric_values>, counted_metrics.size()> metrics_;
    double connections_ = 0;
};

traffic_counts read_counts(const cluster& mesh)
{
    traffic_counts found;
    for (std::size_t index = 0; index < counted_metrics.size(); ++index)
    {
        found.metrics_.at(index) = read_metric(mesh, counted_metrics.at(index));
    }
    const auto counters = mesh.link_counters();
    for (const auto& pair : counters.at("pairs"))
    {
        if (pair.at("kind") == "control")
        {
            found.connections_ += pair.at("connections").get<double>();
        }
    }
    return found;
}

void add_counts(
    measurements& found,
    const cluster& mesh,
    const traffic_counts& before,
    const traffic_counts& after,
    std::size_t edits)
{
    const auto divisor = static_cast<double>(mesh.size() * edits);
    const auto add_count = [&](const std::string& name, double difference)
    {
        found.push_back(
            {fmt::format("counts, {} nodes, per edit, {}", mesh.size(), name),
             "per node", summarize({difference / divisor}),
             "of the whole series, idle messages included"});
    };
    for (std::size_t index = 0; index < counted_metrics.size(); ++index)
    {
        const auto differences =
            increase(before.metrics_.at(index), after.metrics_.at(index));
        for (const auto& [label, difference] : differences)
        {
            add_count(
                fmt::format("{} {}", counted_metrics.at(index), label),
                difference);
        }
    }
    add_count("new connections", after.connections_ - before.connections_);
}

/// Bytes per second during the window, while `act` runs each second.
template <class Act>
bytes_by_scope measure_rate(const cluster& mesh, Act act)
{
    const traffic_window counted(mesh);
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t second = 0; second < window.count(); ++second)
    {
        act(second);
        std::this_thread::sleep_until(start + std::chrono::seconds{second + 1});
    }
    return counted.rates();
}

/// Measurements of all mesh sizes, and their slopes with the number of nodes.
struct scaling_results
{
    measurements found_;
    slope_lines lines_;
};

void add(
    scaling_results& results,
    const cluster& mesh,
    const std::string& what,
    const bytes_by_scope& bytes,
    const std::string& unit,
    double divisor)
{
    for (const auto& [scope, amount] : bytes)
    {
        const auto value = amount / divisor;
        results.found_.push_back(
            {fmt::format(
                 "control bytes, {} nodes, {}, {}", mesh.size(), what, scope),
             unit, summarize({value}), "TCP payload"});
        results.lines_.add(
            fmt::format("control bytes, {}, {}", what, scope), unit,
            {static_cast<double>(mesh.size()), value});
    }
}

void measure_size(cluster& mesh, scaling_results& results)
{
    const auto nodes = static_cast<double>(mesh.size());
    // Membership of a new mesh is still being disseminated, and nodes are
    // warming up.
    std::this_thread::sleep_for(settle_time);
    const auto idle = measure_rate(mesh, [](std::size_t) {});
    add(results, mesh, "idle", idle, "bytes/s per node", nodes);
    const auto counts_before = read_counts(mesh);
    const traffic_window edited(mesh);
    const auto accepted = submit_series(
        mesh, "bytes", measured_edits, std::chrono::milliseconds{300});
    std::this_thread::sleep_for(std::chrono::seconds{1});
    const auto bytes = edited.bytes_above(idle);
    const auto edits = std::max<std::size_t>(1, accepted.size());
    add(results, mesh, "per edit, idle traffic subtracted", bytes, "bytes",
        static_cast<double>(edits));
    add_counts(results.found_, mesh, counts_before, read_counts(mesh), edits);
    const auto churn = measure_rate(
        mesh,
        [&mesh](std::size_t second)
        {
            const auto index = second / 2 * 3 % mesh.size();
            if (second % 2 == 0)
            {
                mesh.kill_upstream(index);
                return;
            }
            mesh.start_upstream(index);
        });
    add(results, mesh, "churn of one upstream", churn, "bytes/s per node",
        nodes);
}

} // namespace

measurements measure_control_bytes(const cluster_options& base)
{
    scaling_results results;
    for (const std::size_t nodes : {16, 64, 128})
    {
        auto options = base;
        options.nodes_ = nodes;
        cluster mesh(options);
        if (start_with_tables(
                mesh, fmt::format("control bytes, {} nodes", nodes),
                results.found_))
        {
            measure_size(mesh, results);
        }
    }
    results.lines_.report("100 nodes", 100, results.found_);
    return std::move(results.found_);
}

} // namespace hemlockshelf
