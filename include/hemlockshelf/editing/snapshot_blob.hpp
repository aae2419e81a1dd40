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

/// A blob is written for each revision that is a multiple of this.
inline constexpr std::uint64_t snapshot_blob_interval = 100;

/// The newest blobs are kept, so that a reader that has chosen one still finds
/// it after several more have been written. Older ones are removed.
inline constexpr std::uint64_t retained_blob_count = 10;

/// Returns `snapshots/<revision>`.
std::string snapshot_blob_name(revision number);

/// Returns the blob's text: JSON, of the form of a delta that holds every row.
std::string snapshot_to_blob(const config_snapshot& snapshot);

/// Reads what `snapshot_to_blob` wrote. The errors are `invalid_row` and
/// `hash_mismatch`.
result<std::shared_ptr<const config_snapshot>>
snapshot_from_blob(const std::string& text);

/// Returns the newest readable blob after `held`, up to `head`; nothing if the
/// last few that should exist are missing or damaged. The error is
/// `platform_unavailable`.
result<std::shared_ptr<const config_snapshot>>
load_newest_blob(object_store& objects, revision held, revision head);

/// Removes blobs that readers no longer need once the blob of `written` is
/// stored. Looks at as many old ones as are kept, so that a blob whose removal
/// failed gets further chances. The error is `platform_unavailable`.
result<void> remove_old_blobs(object_store& objects, revision written);

/// Returns the snapshot of revision `target`, from `base` or the newest blob
/// and the change rows after it. Of use to a starting node and to one that was
/// away for long. The errors are `platform_unavailable` and `revision_gap`.
result<std::shared_ptr<const config_snapshot>> catch_up(
    table_service& tables,
    object_store& objects,
    std::shared_ptr<const config_snapshot> base,
    revision target);

} // namespace hemlockshelf

#endif
