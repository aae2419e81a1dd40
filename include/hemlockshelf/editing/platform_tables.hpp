#ifndef HEMLOCKSHELF_EDITING_PLATFORM_TABLES_HPP
#define HEMLOCKSHELF_EDITING_PLATFORM_TABLES_HPP

#include <string>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf::platform_tables {

inline constexpr auto head = "head";
inline constexpr auto head_key = "config";
inline constexpr auto routes = "routes";
inline constexpr auto pools = "pools";
inline constexpr auto changes = "changes";
inline constexpr auto change_ids = "change_ids";
inline constexpr auto directory = "directory";
inline constexpr auto departures = "departures";

/// Returns the key of a revision's change row. It is zero-padded to 20 digits,
/// so that keys sort in the order of the revisions.
std::string change_key(revision number);

} // namespace hemlockshelf::platform_tables

#endif
