#ifndef HEMLOCKSHELF_BENCHMARK_TARGET_SIZE_MEMBERSHIP_MEASUREMENT_HPP
#define HEMLOCKSHELF_BENCHMARK_TARGET_SIZE_MEMBERSHIP_MEASUREMENT_HPP

#include <nlohmann/json.hpp>

#include "benchmark/target_size/target_fleet.hpp"
#include "hemlockshelf/membership/member_table.hpp"

namespace hemlockshelf {

/// Fills `members` with the fleet and measures memory and time of it, of
/// single departures, and of a whole failure domain that leaves and returns.
nlohmann::json
measure_membership(const fleet_size& size, member_table& members);

} // namespace hemlockshelf

#endif
