#ifndef HEMLOCKSHELF_EXPERIMENT_TRIAL_CONTEXT_HPP
#define HEMLOCKSHELF_EXPERIMENT_TRIAL_CONTEXT_HPP

#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "experiment/cluster.hpp"
#include "experiment/load_generator.hpp"
#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// What a disturbance works on.
struct trial_context
{
    cluster* mesh_ = nullptr;
    load_generator* load_ = nullptr;
    std::mt19937_64 random_;
    /// Nodes that each disturbance affects, by its name.
    std::map<std::string, std::vector<std::size_t>> affected_;
    /// Edits that disturbances made.
    std::vector<edit_record> edits_;
    /// What went wrong besides the rules of the history.
    std::vector<std::string> problems_;
};

} // namespace hemlockshelf

#endif
