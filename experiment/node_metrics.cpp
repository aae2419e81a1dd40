#include "experiment/node_metrics.hpp"

#include <cstdlib>
#include <sstream>

namespace hemlockshelf {

namespace {

/// Returns the value of the first label of a line; empty if it has none.
std::string label_of(const std::string& line)
{
    const auto begin = line.find('"');
    const auto end = line.find('"', begin + 1);
    if (begin == std::string::npos || end == std::string::npos)
    {
        return {};
    }
    return line.substr(begin + 1, end - begin - 1);
}

/// Returns whether a line holds a value of the metric and not of one whose name
/// only starts with the same text.
bool is_value_of(const std::string& line, std::string_view name)
{
    return line.starts_with(name) && line.size() > name.size() &&
           (line[name.size()] == ' ' || line[name.size()] == '{');
}

} // namespace

metric_values read_metric(std::string_view text, std::string_view name)
{
    metric_values values;
    std::istringstream lines{std::string(text)};
    for (std::string line; std::getline(lines, line);)
    {
        if (is_value_of(line, name))
        {
            values[label_of(line)] =
                std::strtod(line.c_str() + line.rfind(' '), nullptr);
        }
    }
    return values;
}

metric_values increase(const metric_values& before, const metric_values& after)
{
    metric_values differences = after;
    for (auto& [label, difference] : differences)
    {
        const auto found = before.find(label);
        if (found != before.end() && found->second <= difference)
        {
            difference -= found->second;
        }
    }
    return differences;
}

std::vector<metric_values>
read_metric(const cluster& mesh, std::string_view name)
{
    std::vector<metric_values> nodes(mesh.size());
    for (std::size_t index = 0; index < mesh.size(); ++index)
    {
        if (mesh.node_is_up(index))
        {
            const auto answer =
                mesh.ask(index, boost::beast::http::verb::get, "/metrics");
            nodes[index] = read_metric(answer.text_, name);
        }
    }
    return nodes;
}

metric_values increase(
    const std::vector<metric_values>& before,
    const std::vector<metric_values>& after)
{
    metric_values sum;
    for (std::size_t index = 0; index < after.size(); ++index)
    {
        for (const auto& [label, difference] :
             increase(before.at(index), after.at(index)))
        {
            sum[label] += difference;
        }
    }
    return sum;
}

} // namespace hemlockshelf
