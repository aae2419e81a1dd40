#ifndef HEMLOCKSHELF_EXPERIMENT_NODE_LOG_HPP
#define HEMLOCKSHELF_EXPERIMENT_NODE_LOG_HPP

#include <istream>
#include <optional>
#include <string_view>

#include "experiment/storm_checks.hpp"

namespace hemlockshelf {

/// Reads the time of a JSON log line, such as `2026-01-31T08:05:07.123Z`.
std::optional<event_time> read_log_time(std::string_view text);

/// Reads the JSON log of one process of a node: adds the revisions that it
/// applied to the history and counts the documents that it read.
void read_node_log(std::istream& log, node_run& run, storm_history& history);

} // namespace hemlockshelf

#endif
