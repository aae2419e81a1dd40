#include "experiment/storm_checks.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "experiment/storm_documents.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

namespace {

/// Returns when the process first ran the revision or a later one.
std::optional<event_time>
reached_at(const storm_history& history, const node_run& run, revision number)
{
    const auto found = std::ranges::find_if(
        history.revisions_,
        [&](const revision_report& report)
        {
            return report.vm_ == run.vm_ && report.process_ == run.process_ &&
                   report.revision_ >= number;
        });
    return found == history.revisions_.end() ? std::nullopt
                                             : std::optional(found->at_);
}

/// Returns when the time limit of a version starts for a process.
event_time deadline_start(const published_version& version, const node_run& run)
{
    return std::max(version.at_, run.started_at_);
}

std::int64_t to_ms(event_time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::string describe_late_version(
    const published_version& version,
    const node_run& run,
    std::optional<event_time> reached)
{
    const auto when =
        reached
            ? fmt::format(
                  "{} ms after", to_ms(*reached - deadline_start(version, run)))
            : std::string("never after");
    return fmt::format(
        "{} (process {}): r{} in force {} its publication or the node's start",
        run.vm_.value(), run.process_, version.number_.value(), when);
}

} // namespace

violations check_in_force_in_time(
    const storm_history& history, std::chrono::milliseconds bound)
{
    violations found;
    for (const auto& run : history.runs_)
    {
        for (const auto& version : history.versions_)
        {
            const auto due = deadline_start(version, run) + bound;
            if (!version.readable_ || (run.ended_at_ && *run.ended_at_ < due))
            {
                continue;
            }
            const auto reached = reached_at(history, run, version.number_);
            if (!reached || *reached > due)
            {
                found.push_back(describe_late_version(version, run, reached));
            }
        }
    }
    return found;
}

violations check_calls_know_versions(
    const storm_history& history, std::chrono::milliseconds bound)
{
    const auto& no_route = error_properties_of(error_kind::no_route).name_;
    violations found;
    for (const auto& version : history.versions_)
    {
        const auto path = path_of_version(version.number_);
        std::size_t rejected = 0;
        event_time latest{0};
        for (const auto& call : history.calls_)
        {
            const auto sent_after = call.sent_at_ - version.at_;
            if (version.readable_ && call.path_ == path &&
                call.error_ == no_route && sent_after > bound)
            {
                ++rejected;
                latest = std::max(latest, sent_after);
            }
        }
        if (rejected > 0)
        {
            found.push_back(fmt::format(
                "r{}: {} calls, sent up to {} ms after its publication, were "
                "handled by an older version",
                version.number_.value(), rejected, to_ms(latest)));
        }
    }
    return found;
}

violations check_published_only(const storm_history& history)
{
    violations found;
    for (const auto& report : history.revisions_)
    {
        const bool published = std::ranges::any_of(
            history.versions_,
            [&report](const published_version& version)
            {
                return version.readable_ && version.number_ == report.revision_;
            });
        // A node that has read nothing so far reports revision 0.
        if (!published && report.revision_ != revision{})
        {
            found.push_back(fmt::format(
                "{}: r{} is in force, which no operator published in a "
                "readable form",
                report.vm_.value(), report.revision_.value()));
        }
    }
    return found;
}

violations check_joining_reads(const storm_history& history)
{
    violations found;
    for (const auto& run : history.runs_)
    {
        if (run.joining_reads_ > 1)
        {
            found.push_back(fmt::format(
                "{} (process {}): read {} documents before it had joined",
                run.vm_.value(), run.process_, run.joining_reads_));
        }
    }
    return found;
}

violations
check_reader_count(const std::set<std::string>& vms, std::size_t allowed)
{
    if (vms.size() <= allowed)
    {
        return {};
    }
    return {fmt::format(
        "{} nodes read published documents, expected at most {}: {}",
        vms.size(), allowed, fmt::join(vms, ", "))};
}

violations
check_final_states(const std::vector<final_state>& states, revision last)
{
    violations found;
    for (const auto& state : states)
    {
        if (state.revision_ != last || state.hash_ != states.front().hash_)
        {
            found.push_back(fmt::format(
                "{}: ends with r{} and hash {}, expected r{} and hash {}",
                state.vm_.value(), state.revision_.value(), state.hash_,
                last.value(), states.front().hash_));
        }
    }
    return found;
}

std::chrono::milliseconds slowest_time(const storm_history& history)
{
    event_time slowest{0};
    for (const auto& run : history.runs_)
    {
        for (const auto& version : history.versions_)
        {
            const auto reached = reached_at(history, run, version.number_);
            if (version.readable_ && reached)
            {
                slowest =
                    std::max(slowest, *reached - deadline_start(version, run));
            }
        }
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(slowest);
}

} // namespace hemlockshelf
