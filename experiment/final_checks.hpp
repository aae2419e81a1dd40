#ifndef HEMLOCKSHELF_EXPERIMENT_FINAL_CHECKS_HPP
#define HEMLOCKSHELF_EXPERIMENT_FINAL_CHECKS_HPP

#include <string>
#include <vector>

#include "experiment/cluster.hpp"
#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// Submits the tables of the deployment and waits until they are in force on
/// every node. Returns false and adds a problem if that fails.
bool apply_tables(
    const cluster& mesh,
    run_history& history,
    std::vector<std::string>& problems);

/// Checks, after every fault has ended, that an edit is accepted, that it
/// comes into force on every node, and that each failure domain serves a call
/// to each service.
void check_recovery(
    const cluster& mesh,
    run_history& history,
    std::vector<std::string>& problems);

/// Adds the platform's changes and the rows of every node to the history.
void collect_history(
    const cluster& mesh,
    run_history& history,
    std::vector<std::string>& problems);

} // namespace hemlockshelf

#endif
