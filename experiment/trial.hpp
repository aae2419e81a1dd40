#ifndef HEMLOCKSHELF_EXPERIMENT_TRIAL_HPP
#define HEMLOCKSHELF_EXPERIMENT_TRIAL_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "experiment/cluster_options.hpp"

namespace hemlockshelf {

/// One run of a mesh under load, with operators and disturbances.
struct trial_options
{
    cluster_options cluster_;
    std::uint64_t seed_ = 1;
    /// Names of the disturbances; they overlap.
    std::vector<std::string> disturbances_;
    /// Calls per second.
    double rate_ = 60;
    /// Processing time of a call in the upstream.
    std::chrono::milliseconds work_{2};
    /// Services that are called; empty means all.
    std::vector<std::string> services_;
    std::size_t operators_ = 3;
    /// Operators that race with `expected_version`.
    std::size_t versioned_operators_ = 0;
    /// How long a disturbance lasts; longer than the detection of a failure.
    std::chrono::milliseconds disturbance_duration_{3500};
    /// Whether every call has to get a definite response, because the trial
    /// injects no failure.
    bool every_outcome_known_ = false;
    /// Share of the calls that has to be served.
    double min_served_share_ = 0;
};

/// Outcome of a trial.
struct trial_result
{
    /// Descriptions of violated rules and unmet conditions.
    std::vector<std::string> problems_;
    /// Counts of calls by outcome and of edits by result.
    std::map<std::string, std::size_t> counts_;
    /// Folder with the files of a failed trial.
    std::string folder_;
};

/// Runs a trial; every wait is bounded. Has to be called from the thread that
/// outlives the trial.
trial_result run_trial(const trial_options& options);

/// Returns a short text of a trial's counts and problems.
std::string to_text(const trial_result& result);

} // namespace hemlockshelf

#endif
