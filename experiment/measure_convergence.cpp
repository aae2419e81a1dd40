#include <array>
#include <csignal>
#include <thread>

#include <fmt/format.h>

#include "experiment/final_checks.hpp"
#include "experiment/measured_edits.hpp"
#include "experiment/measurement.hpp"

namespace hemlockshelf {

namespace {

constexpr std::chrono::seconds convergence_timeout{20};

/// Polls of all nodes together stay below about 3,000 a second.
std::chrono::milliseconds watch_interval(std::size_t nodes)
{
    return std::chrono::milliseconds{std::max<std::size_t>(5, nodes / 3)};
}

/// A running mesh whose revisions are watched.
class watched_mesh
{
public:
    watched_mesh(const cluster_options& base, std::size_t nodes)
        : mesh_(with_nodes(base, nodes)), watcher_(mesh_, watch_interval(nodes))
    {
        problems_ = mesh_.start();
        if (problems_.empty())
        {
            run_history history;
            apply_tables(mesh_, history, problems_);
        }
        watcher_.start();
    }

    measurement
    series(const char* what, std::size_t count, std::chrono::milliseconds gap)
    {
        const auto name =
            fmt::format("convergence, {} nodes, {}", mesh_.size(), what);
        if (!problems_.empty())
        {
            return {name, "ms", {}, "not measured: " + problems_.front()};
        }
        const auto edits = submit_series(
            mesh_, fmt::format("series{}", ++series_), count, gap);
        const auto times =
            convergence_times(mesh_, watcher_, edits, convergence_timeout);
        return {
            name, "ms", summarize(times),
            fmt::format(
                "{} edits, {} accepted, {} in force everywhere; polled each "
                "{} ms",
                count, edits.size(), times.size(),
                watch_interval(mesh_.size()).count())};
    }

    cluster& mesh()
    {
        return mesh_;
    }

private:
    static cluster_options
    with_nodes(cluster_options options, std::size_t nodes)
    {
        options.nodes_ = nodes;
        return options;
    }

    cluster mesh_;
    revision_watcher watcher_;
    std::vector<std::string> problems_;
    int series_ = 0;
};

void measure_faults(watched_mesh& watched, measurements& found)
{
    using std::chrono::milliseconds;
    auto& mesh = watched.mesh();
    const auto quarter = mesh.size() / 4;
    // The last quarter holds a node of each failure domain.
    const auto first = mesh.size() - quarter;
    for (std::size_t index = first; index < first + 4; ++index)
    {
        mesh.kill_node(index);
    }
    found.push_back(watched.series(
        "one node of each failure domain killed before", 6, milliseconds{500}));
    for (std::size_t index = first + 4; index < mesh.size(); ++index)
    {
        mesh.kill_node(index);
    }
    for (std::size_t index = first; index < mesh.size(); ++index)
    {
        mesh.start_node(index);
    }
    found.push_back(
        watched.series("a quarter returning", 10, milliseconds{500}));
    mesh.set_platform_fault({{"mode", "slow"}, {"delay_ms", 300}});
    found.push_back(
        watched.series("platform slow by 300 ms", 4, milliseconds{1500}));
    mesh.set_platform_fault({{"mode", "ok"}});
}

} // namespace

measurements measure_convergence(const cluster_options& base)
{
    using std::chrono::milliseconds;
    measurements found;
    for (const std::size_t nodes : {16, 64, 128})
    {
        watched_mesh watched(base, nodes);
        found.push_back(
            watched.series("one edit at a time", 20, milliseconds{700}));
        found.push_back(
            watched.series("0.5 edits a second", 5, milliseconds{2000}));
        found.push_back(
            watched.series("5 edits a second", 50, milliseconds{200}));
        if (nodes == 64)
        {
            measure_faults(watched, found);
        }
    }
    return found;
}

} // namespace hemlockshelf
