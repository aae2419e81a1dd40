#ifndef HEMLOCKSHELF_EXPERIMENT_MEASURED_EDITS_HPP
#define HEMLOCKSHELF_EXPERIMENT_MEASURED_EDITS_HPP

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "experiment/cluster.hpp"
#include "experiment/revision_watcher.hpp"

namespace hemlockshelf {

/// Submits edit number `round` of a series through a running node, which is
/// chosen by `round`.
edit_record
submit_round(const cluster& mesh, const std::string& name, std::size_t round);

/// Submits `count` edits, one every `gap`, each through a running node chosen
/// by its number. Returns those that were accepted.
std::vector<edit_record> submit_series(
    const cluster& mesh,
    const std::string& name,
    std::size_t count,
    std::chrono::milliseconds gap);

/// Times of the edits of a series in milliseconds, in the order of the edits.
struct edit_times
{
    /// From the request until the accepting node answered that the edit is
    /// accepted: the commit at the platform and the return of the response.
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
