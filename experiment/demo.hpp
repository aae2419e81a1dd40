#ifndef HEMLOCKSHELF_EXPERIMENT_DEMO_HPP
#define HEMLOCKSHELF_EXPERIMENT_DEMO_HPP

#include "experiment/cluster_options.hpp"

namespace hemlockshelf {

/// Demonstrates an edit, its dissemination to every node, calls from both
/// regions, a drain, a killed and replaced node and the audit trail. Prints
/// each step and returns whether all of them succeeded.
bool run_demo(const cluster_options& options);

} // namespace hemlockshelf

#endif
