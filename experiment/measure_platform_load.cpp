#include <algorithm>
#include <thread>

#include <fmt/format.h>

#include "experiment/measured_edits.hpp"
#include "experiment/measured_mesh.hpp"
#include "experiment/measurement.hpp"
#include "experiment/node_metrics.hpp"

namespace hemlockshelf {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// On a loaded machine, the 8 readers of 128 nodes made 6 reads per second
/// after 5 s, and 14.5 after 8 s.
constexpr std::chrono::seconds settle_time{8};
constexpr std::chrono::seconds quiet_window{4};
constexpr std::size_t edits_per_series = 10;
constexpr milliseconds edit_gap{300};
/// Time after the last edit in which readers still fetch it.
constexpr std::chrono::seconds late_read_time{1};
/// Longer than the other failure domains need to detect the failed nodes.
constexpr std::chrono::seconds downtime{3};
constexpr std::chrono::seconds restart_window{6};
constexpr auto requests_metric = "hemlockshelf_platform_requests_total";
constexpr milliseconds sample_interval{250};

/// Requests handled by the platform, as a count or per second.
struct request_counts
{
    double reads_ = 0;
    double writes_ = 0;
};

request_counts operator-(request_counts left, request_counts right)
{
    return {left.reads_ - right.reads_, left.writes_ - right.writes_};
}

request_counts operator*(request_counts counts, double factor)
{
    return {counts.reads_ * factor, counts.writes_ * factor};
}

/// Reads the platform's counters. Throws `std::exception` if it does not
/// answer.
request_counts read_counts(const cluster& mesh)
{
    const auto counters = mesh.platform_counters();
    return {
        counters.at("reads").get<double>(),
        counters.at("writes").get<double>()};
}

double seconds_since(steady_clock::time_point start)
{
    return std::chrono::duration<double>(steady_clock::now() - start).count();
}

void add(
    measurements& found,
    const cluster& mesh,
    const std::string& what,
    const char* unit,
    request_counts counts,
    const std::string& note)
{
    const auto name = [&](const char* kind)
    {
        return fmt::format(
            "platform {}, {} nodes, {}", kind, mesh.size(), what);
    };
    found.push_back({name("reads"), unit, summarize({counts.reads_}), note});
    found.push_back({name("writes"), unit, summarize({counts.writes_}), note});
}

/// Returns the requests per second without edits.
request_counts measure_quiet(const cluster& mesh, measurements& found)
{
    const auto before = read_counts(mesh);
    const auto start = steady_clock::now();
    std::this_thread::sleep_for(quiet_window);
    const auto counted = read_counts(mesh) - before;
    const auto quiet = counted * (1 / seconds_since(start));
    add(found, mesh, "quiet", "per second", quiet,
        fmt::format("window of {} s", quiet_window.count()));
    return quiet;
}

void measure_series(
    const cluster& mesh, request_counts quiet, measurements& found)
{
    const auto before = read_counts(mesh);
    const auto start = steady_clock::now();
    const auto accepted =
        submit_series(mesh, "load", edits_per_series, edit_gap);
    std::this_thread::sleep_for(late_read_time);
    const auto counted = read_counts(mesh) - before;
    const auto above = counted - quiet * seconds_since(start);
    const auto divisor = std::max<std::size_t>(1, accepted.size());
    add(found, mesh, "per accepted edit, quiet load subtracted", "requests",
        above * (1 / static_cast<double>(divisor)),
        fmt::format(
            "{} edits, {} accepted", edits_per_series, accepted.size()));
}

std::vector<std::size_t> nodes_of_first_domain(const cluster& mesh)
{
    std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < mesh.size(); ++index)
    {
        if (mesh.place(index).domain_ == mesh.place(0).domain_)
        {
            indexes.push_back(index);
        }
    }
    return indexes;
}

/// Records the highest request rates between two samples.
class peak_rate_meter
{
public:
    explicit peak_rate_meter(const cluster& mesh)
        : mesh_(mesh), last_(read_counts(mesh)), at_(steady_clock::now())
    {}

    void sample()
    {
        const auto counts = read_counts(mesh_);
        const auto rate = (counts - last_) * (1 / seconds_since(at_));
        at_ = steady_clock::now();
        last_ = counts;
        peak_.reads_ = std::max(peak_.reads_, rate.reads_);
        peak_.writes_ = std::max(peak_.writes_, rate.writes_);
    }

    [[nodiscard]] request_counts peak() const
    {
        return peak_;
    }

private:
    const cluster& mesh_;
    request_counts last_;
    steady_clock::time_point at_;
    request_counts peak_;
};

/// Returns the requests that each of the nodes sent to the platform since its
/// start; nodes that do not respond are omitted. Two nodes of a failure domain
/// keep polling after they have joined.
std::vector<double>
requests_of(const cluster& mesh, const std::vector<std::size_t>& indexes)
{
    const auto nodes = read_metric(mesh, requests_metric);
    std::vector<double> requests;
    for (const auto index : indexes)
    {
        double sum = 0;
        for (const auto& [result, count] : nodes.at(index))
        {
            sum += count;
        }
        if (!nodes.at(index).empty())
        {
            requests.push_back(sum);
        }
    }
    return requests;
}

/// Kills every node of a failure domain and counts the requests after their
/// restart. The upstreams keep running, so that only the nodes' own requests
/// are counted.
void measure_restart(cluster& mesh, measurements& found)
{
    const auto restarted = nodes_of_first_domain(mesh);
    for (const auto index : restarted)
    {
        mesh.kill_node(index);
    }
    std::this_thread::sleep_for(downtime);
    const auto before = read_counts(mesh);
    const auto start = steady_clock::now();
    peak_rate_meter meter(mesh);
    for (const auto index : restarted)
    {
        mesh.start_node(index);
    }
    while (steady_clock::now() - start < restart_window)
    {
        std::this_thread::sleep_for(sample_interval);
        meter.sample();
    }
    const auto counted = read_counts(mesh) - before;
    const auto note = fmt::format(
        "{} nodes of a failure domain killed and started {} s later",
        restarted.size(), downtime.count());
    add(found, mesh, "while a failure domain returns", "requests", counted,
        fmt::format("{}; in {} s", note, restart_window.count()));
    const auto each = requests_of(mesh, restarted);
    found.push_back(
        {fmt::format(
             "platform requests, {} nodes, of each returning node",
             mesh.size()),
         "requests", summarize(each),
         fmt::format(
             "{}; {} answered; in {} s", note, each.size(),
             restart_window.count())});
    add(found, mesh, "highest while a failure domain returns", "per second",
        meter.peak(),
        fmt::format("{}; sampled each {} ms", note, sample_interval.count()));
}

} // namespace

measurements measure_platform_load(const cluster_options& base)
{
    measurements found;
    for (const std::size_t nodes : {16, 64, 128})
    {
        auto options = base;
        options.nodes_ = nodes;
        cluster mesh(options);
        if (!start_with_tables(
                mesh, fmt::format("platform load, {} nodes", nodes), found))
        {
            continue;
        }
        std::this_thread::sleep_for(settle_time);
        const auto quiet = measure_quiet(mesh, found);
        measure_series(mesh, quiet, found);
        measure_restart(mesh, found);
    }
    return found;
}

} // namespace hemlockshelf
