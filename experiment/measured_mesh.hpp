#ifndef HEMLOCKSHELF_EXPERIMENT_MEASURED_MESH_HPP
#define HEMLOCKSHELF_EXPERIMENT_MEASURED_MESH_HPP

#include <string>

#include "experiment/cluster.hpp"
#include "experiment/measurement.hpp"

namespace hemlockshelf {

/// Starts a mesh and applies the tables of its deployment. If that fails, adds
/// the reason to `found` under `name` and returns false.
bool start_with_tables(
    cluster& mesh, const std::string& name, measurements& found);

} // namespace hemlockshelf

#endif
