#ifndef HEMLOCKSHELF_CONFIG_CONFIG_TABLES_HPP
#define HEMLOCKSHELF_CONFIG_CONFIG_TABLES_HPP

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "hemlockshelf/config/row_change.hpp"
#include "hemlockshelf/core/content_hash.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// The rows of both tables and their content hash. Rows are shared between
/// copies, so that a copy costs pointers and not texts.
struct config_tables
{
    std::map<row_key, std::shared_ptr<const route_row>> routes_;
    std::map<row_key, std::shared_ptr<const pool_row>> pools_;
    content_hash hash_;
};

/// Writes one change into the tables and keeps the hash current.
void apply_change(config_tables& tables, const row_change& change);

/// Checks that every route's pool exists and is open to the route's account.
/// The error is `invalid_row` and names the route and the pool.
result<void> check_references(const config_tables& tables);

/// Like `check_references`, for the routes of `accounts` only.
result<void> check_references(
    const config_tables& tables, const std::set<client_account_id>& accounts);

/// Returns the range of an account's rows, whose keys start with its name and
/// a slash.
template <class Row>
auto account_rows(
    const std::map<row_key, Row>& rows, const client_account_id& account)
{
    // The character after the slash ends the range.
    return std::pair{
        rows.lower_bound(row_key{account.value() + "/"}),
        rows.lower_bound(
            row_key{account.value() + static_cast<char>('/' + 1)})};
}

/// Checks the hash of the tables. The error is `hash_mismatch`.
result<void>
check_hash(const config_tables& tables, const content_hash& expected);

/// Returns every row as an upsert, for a whole snapshot.
std::vector<row_change> all_rows(const config_tables& tables);

} // namespace hemlockshelf

#endif
