#ifndef HEMLOCKSHELF_EXPERIMENT_CLUSTER_OPTIONS_HPP
#define HEMLOCKSHELF_EXPERIMENT_CLUSTER_OPTIONS_HPP

#include <cstddef>
#include <cstdint>
#include <string>

#include "experiment/deployment.hpp"

namespace hemlockshelf {

/// Options of a cluster.
struct cluster_options
{
    deployment deployment_;
    /// Folder of the binaries.
    std::string bin_folder_;
    /// Nodes in all failure domains together, each with its upstream.
    std::size_t nodes_ = 16;
    /// Lines that are added to the settings of each node.
    std::string extra_settings_;
    /// Whether nodes reach each other through the links' delays.
    bool with_delays_ = true;
};

} // namespace hemlockshelf

#endif
