#ifndef HEMLOCKSHELF_EXPERIMENT_NODE_METRICS_HPP
#define HEMLOCKSHELF_EXPERIMENT_NODE_METRICS_HPP

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "experiment/cluster.hpp"

namespace hemlockshelf {

/// Values of one metric by the value of its label; the key is empty if the
/// metric has no label.
using metric_values = std::map<std::string, double>;

/// Reads the values of the metric `name` from Prometheus text. A histogram is
/// read as `<name>_sum` and `<name>_count`. Returns nothing for a metric that
/// the text lacks.
metric_values read_metric(std::string_view text, std::string_view name);

/// Returns the increase of a counter. A value below the previous one is taken
/// as the count of a process that was restarted in between.
metric_values increase(const metric_values& before, const metric_values& after);

/// Reads a metric of every node; empty for a node that does not answer.
std::vector<metric_values>
read_metric(const cluster& mesh, std::string_view name);

/// Returns the total increase of a counter over all nodes.
metric_values increase(
    const std::vector<metric_values>& before,
    const std::vector<metric_values>& after);

} // namespace hemlockshelf

#endif
