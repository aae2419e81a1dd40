#ifndef HEMLOCKSHELF_EXPERIMENT_STORM_CHECKS_HPP
#define HEMLOCKSHELF_EXPERIMENT_STORM_CHECKS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hemlockshelf/history/checkers.hpp"
#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// A configuration that an operator published.
struct published_version
{
    revision number_;
    event_time at_{};
    /// Whether nodes can parse it; they skip versions that they cannot.
    bool readable_ = true;
};

/// One process of a node.
struct node_run
{
    vm_id vm_;
    std::uint64_t process_ = 0;
    event_time started_at_{};
    /// Empty if it ran until the end of the recording.
    std::optional<event_time> ended_at_;
    /// Documents that the process read before and after it had joined.
    std::size_t joining_reads_ = 0;
    std::size_t joined_reads_ = 0;
};

/// Events recorded while operators published versions.
struct storm_history
{
    std::vector<published_version> versions_;
    std::vector<node_run> runs_;
    /// Revisions in force, in the order of time for each process.
    std::vector<revision_report> revisions_;
    /// Calls to paths of versions (`path_of_version`).
    std::vector<request_record> calls_;
};

/// State that a node reports after the last publication.
struct final_state
{
    vm_id vm_;
    revision revision_;
    std::string hash_;
};

/// Checks that each readable version, or a later one, is in force on each node
/// within `bound` of its publication, or of the start of a process that came
/// later.
violations check_in_force_in_time(
    const storm_history& history, std::chrono::milliseconds bound);

/// Checks that no call that was sent later than `bound` after the publication
/// of a version is rejected because its route is missing, although that version
/// has added it: a node that still handles calls by an older version violates
/// this, one that refuses them as not run does not.
violations check_calls_know_versions(
    const storm_history& history, std::chrono::milliseconds bound);

/// Checks that no node runs a version that was not published or that cannot be
/// read.
violations check_published_only(const storm_history& history);

/// Checks that no process reads more than one document before it has joined.
violations check_joining_reads(const storm_history& history);

/// Checks that at most `allowed` nodes have read documents.
violations
check_reader_count(const std::set<std::string>& vms, std::size_t allowed);

/// Checks that every node runs the given revision with the same content.
violations
check_final_states(const std::vector<final_state>& states, revision last);

/// Returns the longest time that a version, or a later one, took to be in
/// force on a node.
std::chrono::milliseconds slowest_time(const storm_history& history);

} // namespace hemlockshelf

#endif
