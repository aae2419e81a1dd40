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

/// Who changed the configuration and when, for the quota of accepted edits.
struct recent_change
{
    revision revision_;
    change_id id_;
    client_account_id account_;
    wall_time at_;
};

/// What an edit is checked against: the newest accepted configuration and the
/// changes that led to it.
struct edit_base
{
    std::shared_ptr<const config_snapshot> snapshot_;
    /// The last changes up to the snapshot's revision, in order. Older ones may
    /// be missing between them.
    std::vector<recent_change> recent_;
    /// Version of the change row of the snapshot's revision; 0 at revision 0,
    /// and in a base that was not read from the platform.
    row_version change_version_{0};
};

using edit_base_pointer = std::shared_ptr<const edit_base>;

/// Changes kept in an `edit_base`. The platform takes a few hundred writes a
/// second, so that these cover more than the quota's window.
inline constexpr std::size_t recent_change_limit = 256;

/// Returns the base that follows `base` by a committed record.
edit_base next_base(
    const edit_base& base,
    std::shared_ptr<const config_snapshot> snapshot,
    const change_record& record);

/// Finds the base of an edit. Keeps the newest one, so that an edit reads only
/// the change rows that are new to this node. Thread-safe; no lock is held
/// while the platform is asked.
class edit_base_cache
{
public:
    using snapshot_source =
        std::function<std::shared_ptr<const config_snapshot>()>;

    /// `held` returns the newest snapshot of this node.
    edit_base_cache(table_service& tables, snapshot_source held);

    /// Returns the newest base, whose changes reach back to `since` without a
    /// gap, or as far as `recent_change_limit` allows. Takes one read of a few
    /// change rows, and another one if there were many since then. The errors
    /// are `platform_unavailable`, also if the platform lacks
    /// a revision that this node holds, and `revision_gap`.
    result<edit_base_pointer> read(wall_time since);

    /// Keeps `base` if it is the newest.
    void store(edit_base_pointer base);

private:
    result<edit_base_pointer> read_after(edit_base base, revision read_up_to);
    [[nodiscard]] edit_base start() const;

    table_service& tables_;
    snapshot_source held_;
    mutable std::mutex mutex_;
    edit_base_pointer newest_;
};

} // namespace hemlockshelf

#endif
