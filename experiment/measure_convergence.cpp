#include <array>
#include <csignal>
#include <thread>

#include <fmt/format.h>

#include "experiment/final_checks.hpp"
#include "experiment/measured_edits.hpp"
#include "experiment/measurement.hpp"
#include "experiment/node_metrics.hpp"

namespace hemlockshelf {

namespace {

constexpr std::chrono::seconds convergence_timeout{20};

/// Counts applied revisions by the source from which the node received them.
constexpr auto applies_metric = "hemlockshelf_config_applies_total";

/// Keeps the polls of all nodes together below about 3,000 per second.
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

    /// Submits a series of edits and adds its times, and the sources from
    /// which nodes received the revisions, to `found`.
    void series(
        const char* what,
        std::size_t count,
        std::chrono::milliseconds gap,
        measurements& found)
    {
        const auto name = fmt::format("{} nodes, {}", mesh_.size(), what);
        if (!problems_.empty())
        {
            found.push_back(
                {"convergence, " + name,
                 "ms",
                 {},
                 "not measured: " + problems_.front()});
            return;
        }
        const auto before = read_metric(mesh_, applies_metric);
        const auto edits = submit_series(
            mesh_, fmt::format("series{}", ++series_), count, gap);
        const auto times =
            measure_edit_times(mesh_, watcher_, edits, convergence_timeout);
        const auto after = read_metric(mesh_, applies_metric);
        add_times(name, count, times, found);
        add_arrivals(name, edits.size(), increase(before, after), found);
    }

    cluster& mesh()
    {
        return mesh_;
    }

private:
    void add_times(
        const std::string& name,
        std::size_t count,
        const edit_times& times,
        measurements& found) const
    {
        const auto note = fmt::format(
            "{} edits, {} accepted, {} in force everywhere; polled each {} ms",
            count, times.acceptance_.size(), times.total_.size(),
            watch_interval(mesh_.size()).count());
        found.push_back(
            {"convergence, " + name, "ms", summarize(times.total_), note});
        found.push_back(
            {"request to acceptance, " + name, "ms",
             summarize(times.acceptance_), note});
        found.push_back(
            {"acceptance to every node, " + name, "ms",
             summarize(times.dissemination_), note});
    }

    static void add_arrivals(
        const std::string& name,
        std::size_t edits,
        const metric_values& arrivals,
        measurements& found)
    {
        for (const auto* source : {"push", "poll", "repair", "edit"})
        {
            const auto counted = arrivals.find(source);
            const auto total = counted == arrivals.end() ? 0 : counted->second;
            found.push_back(
                {fmt::format("arrivals by {}, {}", source, name),
                 "nodes per edit",
                 summarize(
                     {total /
                      static_cast<double>(std::max<std::size_t>(1, edits))}),
                 fmt::format("{} arrivals, {} edits", total, edits)});
        }
    }

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
    // The last quarter contains nodes of each failure domain.
    const auto first = mesh.size() - quarter;
    for (std::size_t index = first; index < first + 4; ++index)
    {
        mesh.kill_node(index);
    }
    watched.series(
        "one node of each failure domain killed before", 6, milliseconds{500},
        found);
    for (std::size_t index = first + 4; index < mesh.size(); ++index)
    {
        mesh.kill_node(index);
    }
    for (std::size_t index = first; index < mesh.size(); ++index)
    {
        mesh.start_node(index);
    }
    watched.series("a quarter returning", 10, milliseconds{500}, found);
    mesh.set_platform_fault({{"mode", "slow"}, {"delay_ms", 300}});
    watched.series("platform slow by 300 ms", 4, milliseconds{1500}, found);
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
        watched.series("one edit at a time", 20, milliseconds{700}, found);
        watched.series("0.5 edits a second", 5, milliseconds{2000}, found);
        watched.series("5 edits a second", 50, milliseconds{200}, found);
        if (nodes == 64)
        {
            measure_faults(watched, found);
        }
    }
    return found;
}

} // namespace hemlockshelf
