#ifndef HEMLOCKSHELF_CONFIG_CONFIG_SNAPSHOT_HPP
#define HEMLOCKSHELF_CONFIG_CONFIG_SNAPSHOT_HPP

#include <memory>
#include <string_view>
#include <vector>

#include "hemlockshelf/config/account_index.hpp"
#include "hemlockshelf/config/config_delta.hpp"
#include "hemlockshelf/config/config_tables.hpp"
#include "hemlockshelf/config/route_index.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// An immutable, validated revision of the configuration, with an index for
/// request lookups. The pool of every route exists.
class config_snapshot
{
public:
    /// Validates the tables and builds the index. The error is `invalid_row` if
    /// a route references a missing pool or two accounts hold the same API key.
    static result<std::shared_ptr<const config_snapshot>>
    build(revision number, config_tables tables);

    /// Like `build`, for tables that result from applying `changes` to `base`.
    /// Validates and indexes only the accounts that the changes affect.
    static result<std::shared_ptr<const config_snapshot>> build_next(
        const config_snapshot& base,
        revision number,
        config_tables tables,
        const std::vector<row_change>& changes);

    /// Returns the snapshot of revision 0, which has no rows.
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

    /// Returns the client accounts of the accounts table.
    [[nodiscard]] const account_index& accounts() const noexcept
    {
        return *accounts_;
    }

    /// Returns whether the account owns at least one route or pool.
    [[nodiscard]] bool has_account(const client_account_id& account) const;

private:
    config_snapshot(
        revision number,
        config_tables tables,
        route_index index,
        std::shared_ptr<const account_index> accounts);

    revision number_;
    config_tables tables_;
    route_index index_;
    /// Shared with earlier snapshots while the accounts table is the same.
    std::shared_ptr<const account_index> accounts_;
};

/// Checks that `next` is the revision directly after `current`. The errors are
/// `stale_revision` and `revision_gap`.
result<void> check_revision_order(revision current, revision next);

/// Checks that a delta applies to `current` and produces a newer revision. The
/// errors are `stale_revision` and `revision_gap`.
result<void> check_revision_order(revision current, const config_delta& delta);

/// Builds the snapshot that results from applying `delta` to `base`, which is
/// not modified. The errors are `stale_revision` and `revision_gap` if the
/// delta does not apply to the revision of `base`, `hash_mismatch` if the
/// resulting content hash differs from that of the delta, and `invalid_row`.
result<std::shared_ptr<const config_snapshot>>
apply_delta(const config_snapshot& base, const config_delta& delta);

/// Builds a snapshot from the full set of its rows. The errors are
/// `hash_mismatch` if the rows do not have the expected hash, and
/// `invalid_row`.
result<std::shared_ptr<const config_snapshot>> build_from_rows(
    revision number,
    const std::vector<row_change>& rows,
    const content_hash& expected);

} // namespace hemlockshelf

#endif
