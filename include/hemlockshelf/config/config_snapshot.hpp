#ifndef HEMLOCKSHELF_CONFIG_CONFIG_SNAPSHOT_HPP
#define HEMLOCKSHELF_CONFIG_CONFIG_SNAPSHOT_HPP

#include <memory>
#include <string_view>
#include <vector>

#include "hemlockshelf/config/config_delta.hpp"
#include "hemlockshelf/config/config_tables.hpp"
#include "hemlockshelf/config/route_index.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// An immutable, checked version of the configuration with an index for
/// requests. Every route in it has its pool.
class config_snapshot
{
public:
    /// Checks the tables and builds the index. `invalid_row` if a reference
    /// dangles.
    static result<std::shared_ptr<const config_snapshot>>
    build(revision number, config_tables tables);

    /// Like `build`, for tables that follow from `base` by `changes`. Checks
    /// and indexes only the accounts that the changes touch.
    static result<std::shared_ptr<const config_snapshot>> build_next(
        const config_snapshot& base,
        revision number,
        config_tables tables,
        const std::vector<row_change>& changes);

    /// Returns the snapshot of revision 0, without rows.
    static std::shared_ptr<const config_snapshot> empty();

    [[nodiscard]] revision number() const noexcept
    {
        return number_;
    }

    [[nodiscard]] const config_tables& tables() const noexcept
    {
        return tables_;
    }

    /// Returns the route of `account` for `host` with the longest prefix of
    /// `path`, or null.
    [[nodiscard]] const resolved_route* find_route(
        const client_account_id& account,
        std::string_view host,
        std::string_view path) const;

    /// Tells whether the account owns a row.
    [[nodiscard]] bool has_account(const client_account_id& account) const;

private:
    config_snapshot(revision number, config_tables tables, route_index index);

    revision number_;
    config_tables tables_;
    route_index index_;
};

/// Checks that a delta to `next` follows `held`. The errors are
/// `stale_revision` and `revision_gap`.
result<void> check_revision_order(revision held, revision next);

/// Checks that a delta leads from `held` to a newer revision. The errors are
/// `stale_revision` and `revision_gap`.
result<void> check_revision_order(revision held, const config_delta& delta);

/// Builds the snapshot that follows `base` by `delta`. The errors are
/// `stale_revision` and `revision_gap` if the delta does not follow,
/// `hash_mismatch` if the result differs from what the delta says, and
/// `invalid_row`. `base` stays as it is.
result<std::shared_ptr<const config_snapshot>>
apply_delta(const config_snapshot& base, const config_delta& delta);

/// Builds a snapshot from all of its rows. `hash_mismatch` if the rows do not
/// have the expected hash.
result<std::shared_ptr<const config_snapshot>> build_from_rows(
    revision number,
    const std::vector<row_change>& rows,
    const content_hash& expected);

} // namespace hemlockshelf

#endif
