#include <array>
#include <memory>
#include <thread>

#include <fmt/format.h>

#include "experiment/control_traffic.hpp"
#include "experiment/measured_edits.hpp"
#include "experiment/measured_mesh.hpp"
#include "experiment/measurement.hpp"

namespace hemlockshelf {

namespace {

constexpr std::size_t nodes_of_each = 32;
constexpr std::size_t measured_edits = 40;
/// Time between two edits, which go to the meshes in turn.
constexpr std::chrono::milliseconds edit_gap{250};
constexpr std::chrono::milliseconds watch_interval{10};
constexpr std::chrono::seconds convergence_timeout{20};
constexpr std::chrono::seconds settle_time{12};
/// Nodes of the profile `bytes` exchange digests every 30 s, each at a random
/// time, so 32 nodes yield the mean within a fraction of that interval.
constexpr std::chrono::seconds idle_window{20};
/// Time after the last edit in which repairs still count as its traffic.
constexpr std::chrono::seconds repair_time{2};

/// A mesh that runs one profile, and its measured values.
struct profiled_mesh
{
    profiled_mesh(const cluster_options& options, const char* profile)
        : profile_(profile), mesh_(options), watcher_(mesh_, watch_interval)
    {}

    std::string profile_;
    cluster mesh_;
    revision_watcher watcher_;
    std::vector<edit_record> edits_;
    bytes_by_scope idle_;
    bytes_by_scope edit_bytes_;
};

using profile_pair = std::array<std::unique_ptr<profiled_mesh>, 2>;

std::unique_ptr<profiled_mesh>
make_mesh(const cluster_options& base, const char* profile)
{
    auto options = base;
    options.nodes_ = nodes_of_each;
    options.extra_settings_ +=
        fmt::format("dissemination:\n  profile: {}\n", profile);
    return std::make_unique<profiled_mesh>(options, profile);
}

void measure_idle(const profile_pair& meshes)
{
    const traffic_window first(meshes[0]->mesh_);
    const traffic_window second(meshes[1]->mesh_);
    std::this_thread::sleep_for(idle_window);
    meshes[0]->idle_ = first.rates();
    meshes[1]->idle_ = second.rates();
}

/// Submits edits to the meshes alternately, so that variations of the machine's
/// load affect both.
void measure_edits(const profile_pair& meshes)
{
    const traffic_window first(meshes[0]->mesh_);
    const traffic_window second(meshes[1]->mesh_);
    auto next = std::chrono::steady_clock::now();
    for (std::size_t round = 0; round < measured_edits; ++round)
    {
        for (const auto& each : meshes)
        {
            std::this_thread::sleep_until(next);
            next += edit_gap;
            auto record = submit_round(each->mesh_, "profiles", round);
            if (record.result_ == edit_result::accepted)
            {
                each->edits_.push_back(std::move(record));
            }
        }
    }
    std::this_thread::sleep_for(repair_time);
    meshes[0]->edit_bytes_ = first.bytes_above(meshes[0]->idle_);
    meshes[1]->edit_bytes_ = second.bytes_above(meshes[1]->idle_);
}

void add_times(profiled_mesh& each, measurements& found)
{
    const auto times = measure_edit_times(
        each.mesh_, each.watcher_, each.edits_, convergence_timeout);
    const auto note = fmt::format(
        "{} nodes, {} edits, {} accepted, {} in force everywhere; polled each "
        "{} ms",
        nodes_of_each, measured_edits, times.acceptance_.size(),
        times.total_.size(), watch_interval.count());
    const auto add = [&](const char* what, const std::vector<double>& values)
    {
        found.push_back(
            {fmt::format("{}, profile {}", what, each.profile_), "ms",
             summarize(values), note});
    };
    add("convergence time", times.total_);
    add("request to acceptance", times.acceptance_);
    add("acceptance to every node", times.dissemination_);
}

std::string name_of(const std::string& scope)
{
    if (scope == "local")
    {
        return "inside the failure domain";
    }
    if (scope == "domain")
    {
        return "between failure domains";
    }
    return scope == "region" ? "between regions" : scope;
}

void add_bytes(
    const profiled_mesh& each,
    const char* what,
    const bytes_by_scope& bytes,
    const char* unit,
    double divisor,
    measurements& found)
{
    for (const auto& [scope, amount] : bytes)
    {
        found.push_back(
            {fmt::format(
                 "{}, {}, profile {}", what, name_of(scope), each.profile_),
             unit, summarize({amount / divisor}),
             fmt::format("{} nodes, TCP payload", nodes_of_each)});
    }
}

void add_figures(profiled_mesh& each, measurements& found)
{
    const auto edits = std::max<std::size_t>(1, each.edits_.size());
    add_times(each, found);
    add_bytes(
        each, "idle bytes", each.idle_, "bytes/s per node",
        static_cast<double>(nodes_of_each), found);
    add_bytes(
        each, "bytes per accepted edit, idle traffic subtracted",
        each.edit_bytes_, "bytes", static_cast<double>(edits), found);
}

} // namespace

measurements measure_profiles(const cluster_options& base)
{
    measurements found;
    const profile_pair meshes{
        make_mesh(base, "convergence"), make_mesh(base, "bytes")};
    for (const auto& each : meshes)
    {
        if (!start_with_tables(each->mesh_, "profile " + each->profile_, found))
        {
            return found;
        }
        each->watcher_.start();
    }
    std::this_thread::sleep_for(settle_time);
    measure_idle(meshes);
    measure_edits(meshes);
    std::array<measurements, 2> figures;
    for (std::size_t index = 0; index < meshes.size(); ++index)
    {
        add_figures(*meshes.at(index), figures.at(index));
    }
    // Places the values of the two profiles next to each other.
    for (std::size_t row = 0; row < figures[0].size(); ++row)
    {
        found.push_back(std::move(figures[0][row]));
        found.push_back(std::move(figures[1].at(row)));
    }
    return found;
}

} // namespace hemlockshelf
