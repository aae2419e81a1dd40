#include "adapters/cli/request_trace.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace hemlockshelf {

namespace {

/// Events that tell what a node believes.
constexpr std::array beliefs{
    std::string_view{"revision_applied"},
    std::string_view{"configuration_rejected"},
    std::string_view{"upstream_changed"},
    std::string_view{"member_down"},
    std::string_view{"platform_lost"},
    std::string_view{"platform_regained"},
    std::string_view{"platform_restored"},
    std::string_view{"platform_behind"},
    std::string_view{"process_paused"},
    std::string_view{"node_serving"},
    std::string_view{"node_draining"},
    std::string_view{"failure_domain_unreachable"},
    std::string_view{"failure_domain_reachable"},
    std::string_view{"lines_left_out"}};

bool is_belief(const log_line& line)
{
    return std::ranges::find(beliefs, line.event_) != beliefs.end();
}

/// An upstream's own calls have the id of their request, a point and more.
bool belongs_to(const log_line& line, const std::string& id)
{
    const auto found = line.fields_.find("request_id");
    return found != line.fields_.end() &&
           (found->second == id || found->second.starts_with(id + "."));
}

std::string step(const log_line& line, std::chrono::milliseconds start)
{
    return fmt::format(
        "{:+8} ms  {}  {}\n", (line.time_ - start).count(), line.vm_,
        line.text_);
}

std::string belief(const log_line& line, std::chrono::milliseconds now)
{
    return fmt::format(
        "             {}  {} s earlier: {}\n", line.vm_,
        static_cast<double>((now - line.time_).count()) / 1000, line.text_);
}

} // namespace

std::vector<log_line> read_log(std::istream& log)
{
    std::vector<log_line> lines;
    std::string text;
    while (std::getline(log, text))
    {
        if (auto line = parse_log_line(text))
        {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

std::string trace_request(std::vector<log_line> lines, const std::string& id)
{
    std::ranges::stable_sort(lines, {}, &log_line::time_);
    std::map<std::string, std::map<std::string, const log_line*>> held;
    std::set<const log_line*> shown;
    std::string story;
    std::chrono::milliseconds start{-1};
    for (const auto& line : lines)
    {
        if (is_belief(line))
        {
            held[line.vm_][line.event_] = &line;
            continue;
        }
        if (!belongs_to(line, id))
        {
            continue;
        }
        start = start.count() < 0 ? line.time_ : start;
        for (const auto& [event, last] : held[line.vm_])
        {
            if (shown.insert(last).second)
            {
                story += belief(*last, line.time_);
            }
        }
        story += step(line, start);
    }
    if (story.empty())
    {
        return fmt::format(
            "no line names the request {}: it was served at its first gate, or "
            "the lines are in other logs or were left out (lines_left_out)\n",
            id);
    }
    return story;
}

} // namespace hemlockshelf
