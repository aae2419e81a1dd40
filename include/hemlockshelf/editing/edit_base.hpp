#ifndef HEMLOCKSHELF_EDITING_EDIT_BASE_HPP
#define HEMLOCKSHELF_EDITING_EDIT_BASE_HPP

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "hemlockshelf/config/config_snapshot.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/editing/change_record.hpp"
#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// Account and time of an accepted change, for the quota of accepted edits.
struct recent_change
{
    revision revision_;
    change_id id_;
    client_account_id account_;
    wall_time at_;
};

/// State that an edit is validated against: the newest accepted configuration
/// and the recent changes before it.
struct edit_base
{
    std::shared_ptr<const config_snapshot> snapshot_;
    /// The most recent changes up to the snapshot's revision, in order. There
    /// may be gaps between older ones.
    std::vector<recent_change> recent_;
    /// Row version of the change row of the snapshot's revision; 0 at revision
    /// 0 and in a base that was not read from the platform.
    row_version change_version_{0};
};

using edit_base_pointer = std::shared_ptr<const edit_base>;

/// Maximum number of changes in an `edit_base`. The platform accepts a few
/// hundred writes per second, so that these cover more than the window of the
/// quota.
inline constexpr std::size_t recent_change_limit = 256;

/// Returns the base after committing `record` on top of `base`.
edit_base next_base(
    const edit_base& base,
    std::shared_ptr<const config_snapshot> snapshot,
    const change_record& record);

/// Provides the base of an edit. Caches the newest one, so that an edit reads
/// only the change rows that are new to this node. Thread-safe; no lock is held
/// during requests to the platform.
class edit_base_cache
{
public:
    using snapshot_source =
        std::function<std::shared_ptr<const config_snapshot>()>;

    /// `current_snapshot` returns the current snapshot of this node.
    edit_base_cache(table_service& tables, snapshot_source current_snapshot);

    /// Returns the newest base. Its changes reach back to `since` without a
    /// gap, or as far as `recent_change_limit` allows. Needs one scan of a few
    /// change rows, and a second scan if there were many changes since then.
    /// The errors are `revision_gap` and `platform_unavailable`, the latter
    /// also if the platform lacks a revision that this node has.
    result<edit_base_pointer> read(wall_time since);

    /// Stores `base` unless the cached one is newer.
    void store(edit_base_pointer base);

private:
    result<edit_base_pointer> read_after(edit_base base, revision read_up_to);
    [[nodiscard]] edit_base newest_known() const;

    table_service& tables_;
    snapshot_source current_snapshot_;
    mutable std::mutex mutex_;
    edit_base_pointer newest_;
};

} // namespace hemlockshelf

#endif
