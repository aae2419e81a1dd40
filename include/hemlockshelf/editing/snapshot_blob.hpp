#ifndef HEMLOCKSHELF_EDITING_SNAPSHOT_BLOB_HPP
#define HEMLOCKSHELF_EDITING_SNAPSHOT_BLOB_HPP

#include <cstdint>
#include <memory>
#include <string>

#include "hemlockshelf/config/config_snapshot.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/editing/object_store.hpp"
#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// A snapshot blob is written for each revision that is a multiple of this.
inline constexpr std::uint64_t snapshot_blob_interval = 100;

/// Number of snapshot blobs that are retained, so that a reader that has chosen
/// one can still load it after several newer ones have been written. Older
/// blobs are removed.
inline constexpr std::uint64_t retained_blob_count = 10;

/// Returns `snapshots/<revision>`.
std::string snapshot_blob_name(revision number);

/// Serializes a snapshot as JSON, in the form of a delta with all rows.
std::string snapshot_to_blob(const config_snapshot& snapshot);

/// Parses the output of `snapshot_to_blob`. The errors are `invalid_row` and
/// `hash_mismatch`.
result<std::shared_ptr<const config_snapshot>>
snapshot_from_blob(const std::string& text);

/// Loads the newest valid snapshot blob after `current`, up to `head`. Returns
/// null if the last few blobs that should exist are missing or damaged. The
/// error is `platform_unavailable`.
result<std::shared_ptr<const config_snapshot>>
load_newest_blob(object_store& objects, revision current, revision head);

/// Removes blobs that readers no longer need once the blob of `written` is
/// stored. Tries to remove as many old blobs as are retained, so that a failed
/// removal is retried by later calls. The error is `platform_unavailable`.
result<void> remove_old_blobs(object_store& objects, revision written);

/// Builds the snapshot of revision `target` from `base` or the newest blob,
/// whichever is newer, and the change rows after it. Used by a node that starts
/// or that was disconnected for long. The errors are `platform_unavailable` and
/// `revision_gap`.
result<std::shared_ptr<const config_snapshot>> catch_up(
    table_service& tables,
    object_store& objects,
    std::shared_ptr<const config_snapshot> base,
    revision target);

} // namespace hemlockshelf

#endif
