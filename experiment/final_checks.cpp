#include "experiment/final_checks.hpp"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "experiment/operators.hpp"
#include "experiment/single_call.hpp"
#include "experiment/wait.hpp"

namespace hemlockshelf {

namespace {

/// Convergence is specified in seconds, but a loaded machine may need longer,
/// and only the outcome is checked here.
constexpr std::chrono::seconds recovery_timeout{40};

void add_all(
    std::vector<std::string>& problems, const std::vector<std::string>& more)
{
    problems.insert(problems.end(), more.begin(), more.end());
}

/// Submits an edit until it is accepted. Each try has its own change id.
std::optional<revision> submit_until_accepted(
    const cluster& mesh,
    run_history& history,
    const std::string& name,
    const nlohmann::json& edits)
{
    std::optional<revision> accepted;
    int tries = 0;
    wait_until(
        recovery_timeout,
        [&]
        {
            auto record = submit_edit(
                mesh, 0, fmt::format("{}-{}", name, ++tries), edits);
            if (record.result_ == edit_result::accepted)
            {
                accepted = record.revision_;
            }
            history.edits_.push_back(std::move(record));
            return accepted.has_value();
        });
    return accepted;
}

void check_calls(
    const cluster& mesh,
    run_history& history,
    std::vector<std::string>& problems)
{
    const auto& account = mesh.options().deployment_.account_;
    const auto services = mesh.services();
    // One deadline for all calls bounds the check of a mesh that fails.
    const auto until = std::chrono::steady_clock::now() + recovery_timeout;
    std::set<std::string> called;
    for (std::size_t index = 0; index < mesh.size(); ++index)
    {
        const auto& place = mesh.place(index);
        if (!mesh.node_is_up(index) || !called.insert(place.domain_).second)
        {
            continue;
        }
        for (const auto& service : services)
        {
            const single_call call{
                place.calls_, account, fmt::format("{}.{}", service, account),
                fmt::format("final-{}-{}", place.domain_, service)};
            const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    until - std::chrono::steady_clock::now());
            if (!call_until_served(call, left, history.requests_))
            {
                problems.push_back(fmt::format(
                    "{}: a call to {} was not served ({})", place.domain_,
                    service, history.requests_.back().error_));
            }
        }
    }
}

} // namespace

bool apply_tables(
    const cluster& mesh,
    run_history& history,
    std::vector<std::string>& problems)
{
    const auto accepted = submit_until_accepted(
        mesh, history, "tables", mesh.options().deployment_.tables_);
    if (!accepted)
    {
        problems.emplace_back("the tables were not accepted");
        return false;
    }
    const auto behind = mesh.wait_for_revision(*accepted, recovery_timeout);
    add_all(problems, behind);
    // Every node has to know the members before calls can be served.
    if (behind.empty())
    {
        check_calls(mesh, history, problems);
    }
    return problems.empty();
}

void check_recovery(
    const cluster& mesh,
    run_history& history,
    std::vector<std::string>& problems)
{
    const auto& deployed = mesh.options().deployment_;
    const auto accepted = submit_until_accepted(
        mesh, history, "last",
        nlohmann::json::array(
            {{{"table", "pools"},
              {"key", deployed.account_ + "/last"},
              {"row", {{"service", deployed.services_.front()}}}}}));
    if (!accepted)
    {
        problems.emplace_back("no edit was accepted after the faults");
        return;
    }
    add_all(problems, mesh.wait_for_revision(*accepted, recovery_timeout));
    check_calls(mesh, history, problems);
}

void collect_history(
    const cluster& mesh,
    run_history& history,
    std::vector<std::string>& problems)
{
    history.changes_ = mesh.committed_changes();
    for (std::size_t index = 0; index < mesh.size(); ++index)
    {
        if (!mesh.node_is_up(index))
        {
            continue;
        }
        auto rows = mesh.node_rows(index);
        if (!rows)
        {
            problems.push_back(
                mesh.place(index).vm_ + ": its rows could not be read");
            continue;
        }
        rows->final_ = true;
        history.rows_.push_back(std::move(*rows));
    }
}

} // namespace hemlockshelf
