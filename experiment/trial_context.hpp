#ifndef HEMLOCKSHELF_EXPERIMENT_TRIAL_CONTEXT_HPP
#define HEMLOCKSHELF_EXPERIMENT_TRIAL_CONTEXT_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "experiment/cluster.hpp"
#include "experiment/load_generator.hpp"
#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// A cut of one direction of a link. A side is a failure domain, a region or
/// "*".
struct one_way_cut
{
    std::string from_;
    std::string to_;
    /// Bytes that the opposite direction had delivered when the cut began.
    std::uint64_t delivered_back_ = 0;
};

/// State that the disturbances of a trial share.
struct trial_context
{
    cluster* mesh_ = nullptr;
    load_generator* load_ = nullptr;
    std::mt19937_64 random_;
    /// Nodes that each disturbance affects, by its name.
    std::map<std::string, std::vector<std::size_t>> affected_;
    /// Cuts in force, by the name of their disturbance.
    std::map<std::string, one_way_cut> one_way_cuts_;
    /// Whether the trial has several disturbances, each of which may hide what
    /// another one causes.
    bool is_combined_ = false;
    /// Counters and measured values of disturbances, for the trial's report.
    std::map<std::string, std::size_t> counts_;
    /// Edits that disturbances made.
    std::vector<edit_record> edits_;
    /// Problems other than violations found by the history checkers.
    std::vector<std::string> problems_;
};

} // namespace hemlockshelf

#endif
