#include "experiment/bridge_kill.hpp"

#include <algorithm>
#include <future>
#include <iterator>
#include <sstream>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "experiment/operators.hpp"
#include "experiment/settings_files.hpp"
#include "experiment/wait.hpp"

namespace hemlockshelf {

namespace {

constexpr auto name = "kill_bridge";
constexpr std::size_t bridge_kill_count = 3;
/// Each push chooses a new bridge, so several edits are needed for one to
/// choose the killed node before its failure is detected.
constexpr std::size_t edits_after_kill = 12;
/// Target for the convergence time in each failure case.
constexpr std::chrono::milliseconds crossing_limit{4000};
/// Ends the wait for an edit that does not arrive at all.
constexpr std::chrono::seconds crossing_timeout{20};
constexpr std::string_view region_bytes_metric =
    "hemlockshelf_control_received_bytes_total{scope=\"region\"} ";

using node_bytes = std::map<std::size_t, double>;

/// Returns the running nodes of the platform's region, or those of the others.
std::vector<std::size_t> running_nodes(const cluster& mesh, bool at_platform)
{
    const auto& region = mesh.options().deployment_.platform_region_;
    std::vector<std::size_t> nodes;
    for (std::size_t index = 0; index < mesh.size(); ++index)
    {
        if (mesh.node_is_up(index) &&
            (mesh.place(index).region_ == region) == at_platform)
        {
            nodes.push_back(index);
        }
    }
    return nodes;
}

/// Returns the control bytes that a node received from other regions.
double region_bytes(const cluster& mesh, std::size_t index)
{
    const auto answer =
        mesh.ask(index, boost::beast::http::verb::get, "/metrics");
    std::istringstream lines(answer.text_);
    for (std::string line; std::getline(lines, line);)
    {
        if (line.starts_with(region_bytes_metric))
        {
            return std::stod(line.substr(region_bytes_metric.size()));
        }
    }
    return 0;
}

node_bytes
read_bytes(const cluster& mesh, const std::vector<std::size_t>& nodes)
{
    node_bytes bytes;
    for (const auto index : nodes)
    {
        bytes[index] = region_bytes(mesh, index);
    }
    return bytes;
}

edit_record submit_cross_region_edit(trial_context& context)
{
    const auto& mesh = *context.mesh_;
    const auto nodes = running_nodes(mesh, true);
    const auto& deployed = mesh.options().deployment_;
    auto record = submit_edit(
        mesh, nodes[context.random_() % nodes.size()],
        fmt::format("bridged-{}", context.random_()),
        nlohmann::json::array(
            {{{"table", "pools"},
              {"key", deployed.account_ + "/bridged"},
              {"row",
               {{"service", deployed.services_.front()},
                {"max_concurrent_calls", 50 + context.random_() % 100}}}}}));
    context.edits_.push_back(record);
    return record;
}

/// Waits until every node knows all members. A push does not reach a node that
/// started late and is not yet known to the others.
bool wait_for_members(const cluster& mesh)
{
    return wait_until(
        crossing_timeout,
        [&mesh]
        {
            auto nodes = running_nodes(mesh, false);
            std::ranges::copy(
                running_nodes(mesh, true), std::back_inserter(nodes));
            return std::ranges::all_of(
                nodes,
                [&mesh](std::size_t index)
                {
                    const auto answer = mesh.ask(
                        index, boost::beast::http::verb::get, "/v1/status");
                    return answer.status_ == 200 &&
                           answer.body_.at("members").at("alive") ==
                               mesh.size();
                });
        });
}

/// Submits until an edit is accepted, since operators race with this one.
std::optional<edit_record> submit_until_accepted(trial_context& context)
{
    std::optional<edit_record> accepted;
    wait_until(
        crossing_timeout,
        [&context, &accepted]
        {
            auto edit = submit_cross_region_edit(context);
            if (edit.result_ == edit_result::accepted)
            {
                accepted = std::move(edit);
            }
            return accepted.has_value();
        });
    return accepted;
}

bool wait_for_nodes(
    const cluster& mesh, const std::vector<std::size_t>& nodes, revision number)
{
    return std::ranges::all_of(
        nodes,
        [&mesh, number](std::size_t index)
        {
            return wait_until(
                crossing_timeout,
                [&mesh, index, number]
                {
                    const auto held = mesh.node_revision(index);
                    return held && *held >= number;
                });
        });
}

/// Measures the time to the other region from the moment at which the
/// platform's region runs the edit, so that a slow machine delays both ends of
/// the interval. Returns whether the edit reached the other region in time.
bool check_crossing(trial_context& context, const edit_record& edit)
{
    const auto& mesh = *context.mesh_;
    const bool at_origin =
        wait_for_nodes(mesh, running_nodes(mesh, true), edit.revision_);
    const auto started_at = std::chrono::steady_clock::now();
    const bool crossed =
        wait_for_nodes(mesh, running_nodes(mesh, false), edit.revision_);
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - started_at);
    auto& slowest = context.counts_["slowest crossing (ms)"];
    slowest =
        std::max<std::size_t>(slowest, static_cast<std::size_t>(took.count()));
    ++context.counts_["edits after the kill of a bridge"];
    if (at_origin && crossed && took <= crossing_limit)
    {
        return true;
    }
    context.problems_.push_back(fmt::format(
        "edit {}: was {} {} ms after the platform's region ran it, expected "
        "at most {} ms",
        edit.id_.value(),
        crossed ? "in force in the other region" : "still not everywhere",
        took.count(), crossing_limit.count()));
    return false;
}

/// Submits an edit and finds its bridge: the node of the other region whose
/// metric of bytes received from other regions increased most.
std::optional<std::size_t> find_bridge(trial_context& context)
{
    const auto& mesh = *context.mesh_;
    const auto nodes = running_nodes(mesh, false);
    const auto before = read_bytes(mesh, nodes);
    const auto edit = submit_until_accepted(context);
    if (!edit || !wait_for_nodes(mesh, nodes, edit->revision_))
    {
        return std::nullopt;
    }
    std::optional<std::size_t> bridge;
    double most = 0;
    for (const auto& [index, bytes] : read_bytes(mesh, nodes))
    {
        if (bytes - before.at(index) > most)
        {
            most = bytes - before.at(index);
            bridge = index;
        }
    }
    return bridge;
}

void kill_and_edit(trial_context& context, std::size_t bridge)
{
    context.affected_[name].push_back(bridge);
    // The bridge is killed during the push of this edit; only the edits after
    // it are checked.
    auto pushed = std::async(
        std::launch::async,
        [&context]
        {
            return submit_cross_region_edit(context);
        });
    context.mesh_->kill_node(bridge);
    pushed.wait();
    ++context.counts_["bridges killed"];
    for (std::size_t count = 0; count < edits_after_kill; ++count)
    {
        const auto edit = submit_cross_region_edit(context);
        if (edit.result_ == edit_result::accepted &&
            !check_crossing(context, edit))
        {
            return;
        }
    }
}

} // namespace

void kill_bridges(trial_context& context)
{
    const auto& mesh = *context.mesh_;
    const auto others = running_nodes(mesh, false);
    if (!wait_for_members(mesh))
    {
        context.problems_.emplace_back("a node does not know every member");
        return;
    }
    const bool is_cut = mesh.set_link_fault(
        {{"mode", "cut"},
         {"from", platform_domain},
         {"to", mesh.place(others.front()).region_}});
    if (!is_cut)
    {
        context.problems_.emplace_back("the cut of the platform was refused");
        return;
    }
    const auto known_problems = context.problems_.size();
    for (std::size_t count = 0; count < bridge_kill_count &&
                                context.problems_.size() == known_problems;
         ++count)
    {
        const auto bridge = find_bridge(context);
        if (!bridge)
        {
            context.problems_.emplace_back(
                "no node of the other region received an edit");
            return;
        }
        kill_and_edit(context, *bridge);
    }
    if (context.counts_["edits after the kill of a bridge"] == 0)
    {
        context.problems_.emplace_back(
            "no edit was accepted after the kill of a bridge");
    }
}

void restart_bridges(trial_context& context)
{
    context.mesh_->set_link_fault({{"mode", "ok"}});
    for (const auto index : context.affected_[name])
    {
        context.mesh_->start_node(index);
    }
    context.affected_.erase(name);
}

} // namespace hemlockshelf
