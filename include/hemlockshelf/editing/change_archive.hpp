#ifndef HEMLOCKSHELF_EDITING_CHANGE_ARCHIVE_HPP
#define HEMLOCKSHELF_EDITING_CHANGE_ARCHIVE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/editing/change_record.hpp"
#include "hemlockshelf/editing/object_store.hpp"
#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// Each archive blob holds the change rows up to a multiple of this revision
/// number.
inline constexpr std::uint64_t changes_per_archive = 100;

/// Returns `changes/<last revision>`.
std::string archive_name(revision last);

/// Moves the oldest change rows into the object store, in complete archive
/// blobs, and removes them and their change IDs from the tables with one
/// transaction per blob. Keeps rows younger than `retention`, and rows that a
/// reader of a retained snapshot blob may need, where `snapshot` is the newest
/// one. Several nodes may call this concurrently. Returns the number of rows
/// moved. The errors are `platform_unavailable` and `outcome_unknown`, after
/// which a later call continues, and `invalid_row`.
result<std::size_t> archive_changes(
    table_service& tables,
    object_store& objects,
    revision snapshot,
    wall_time now,
    std::chrono::milliseconds retention);

/// Reads up to `limit` changes after `from`, in order, from the archive and the
/// change rows. Changes whose archive blob has been removed are skipped. The
/// errors are `platform_unavailable` and `invalid_row`.
result<std::vector<change_record>> read_history(
    table_service& tables,
    object_store& objects,
    revision from,
    std::size_t limit);

} // namespace hemlockshelf

#endif
