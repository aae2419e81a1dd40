#ifndef HEMLOCKSHELF_EXPERIMENT_MEASURED_EDITS_HPP
#define HEMLOCKSHELF_EXPERIMENT_MEASURED_EDITS_HPP

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "experiment/cluster.hpp"
#include "experiment/revision_watcher.hpp"

namespace hemlockshelf {

/// Submits the edit of a series that has number `round`, through a node that is
/// up; the node depends on the round.
edit_record
submit_round(const cluster& mesh, const std::string& name, std::size_t round);

/// Submits `count` edits, one each `gap`, through a node that is up and
/// changes with each edit.
/// Returns those that were accepted.
std::vector<edit_record> submit_series(
    const cluster& mesh,
    const std::string& name,
    std::size_t count,
    std::chrono::milliseconds gap);

/// Times of the edits of a series in milliseconds, in the order of the edits.
struct edit_times
{
    /// From the request until the accepting node answered that the edit is
    /// accepted: the commit at the platform and the answer's way back.
    std::vector<double> acceptance_;
    /// From that answer until the last node that is up reported the revision;
    /// 0 if every node reported it before.
    std::vector<double> dissemination_;
    /// From the request until the last node reported the revision.
    std::vector<double> total_;
};

/// Returns the times of the edits. An edit that a node did not report within
/// `timeout` has a time of acceptance only.
edit_times measure_edit_times(
    const cluster& mesh,
    revision_watcher& watcher,
    const std::vector<edit_record>& edits,
    std::chrono::milliseconds timeout);

} // namespace hemlockshelf

#endif
