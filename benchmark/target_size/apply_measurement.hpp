#ifndef HEMLOCKSHELF_BENCHMARK_TARGET_SIZE_APPLY_MEASUREMENT_HPP
#define HEMLOCKSHELF_BENCHMARK_TARGET_SIZE_APPLY_MEASUREMENT_HPP

#include <cstddef>

#include <nlohmann/json.hpp>

#include "benchmark/target_size/target_fleet.hpp"
#include "hemlockshelf/config/snapshot_store.hpp"

namespace hemlockshelf {

/// Applies the tables of the fleet as a whole and then `edits` deltas, while a
/// thread resolves routes as calls would; measures memory and times.
nlohmann::json measure_applies(
    const fleet_size& size, std::size_t edits, snapshot_store& snapshots);

} // namespace hemlockshelf

#endif
