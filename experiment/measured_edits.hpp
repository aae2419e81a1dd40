#ifndef HEMLOCKSHELF_EXPERIMENT_MEASURED_EDITS_HPP
#define HEMLOCKSHELF_EXPERIMENT_MEASURED_EDITS_HPP

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "experiment/cluster.hpp"
#include "experiment/revision_watcher.hpp"

namespace hemlockshelf {

/// Submits `count` edits, one each `gap`, through random nodes that are up.
/// Returns those that were accepted.
std::vector<edit_record> submit_series(
    const cluster& mesh,
    const std::string& name,
    std::size_t count,
    std::chrono::milliseconds gap);

/// Returns, for each edit, the milliseconds from its request until the last
/// node that is up reported it. Edits that a node did not report within
/// `timeout` are left out.
std::vector<double> convergence_times(
    const cluster& mesh,
    revision_watcher& watcher,
    const std::vector<edit_record>& edits,
    std::chrono::milliseconds timeout);

} // namespace hemlockshelf

#endif
