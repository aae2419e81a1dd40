#ifndef HEMLOCKSHELF_EDITING_CONFIG_READER_HPP
#define HEMLOCKSHELF_EDITING_CONFIG_READER_HPP

#include <memory>
#include <vector>

#include "hemlockshelf/config/config_snapshot.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/editing/change_record.hpp"
#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// Content of the head row: the newest accepted revision.
struct config_head
{
    revision revision_;
    content_hash hash_;
    /// Row version of the head row, for compare-and-set; 0 before the first
    /// edit.
    row_version version_;
};

/// Reads the head row. The errors are `platform_unavailable` and `invalid_row`.
result<config_head> read_head(table_service& tables);

/// Reads up to `limit` change rows after `from`, in order.
result<std::vector<change_record>>
read_changes(table_service& tables, revision from, std::size_t limit);

/// Applies the records after `base` up to `target`. Checks the content hash
/// after each record; checks the references and builds the index once at the
/// end. The errors are `revision_gap`, `hash_mismatch` and `invalid_row`.
result<std::shared_ptr<const config_snapshot>> apply_records(
    std::shared_ptr<const config_snapshot> base,
    const std::vector<change_record>& records,
    revision target);

/// Builds the snapshot of revision `target` by applying change rows to `base`.
/// The error is `revision_gap` if a change row is missing.
result<std::shared_ptr<const config_snapshot>> catch_up(
    table_service& tables,
    std::shared_ptr<const config_snapshot> base,
    revision target);

} // namespace hemlockshelf

#endif
