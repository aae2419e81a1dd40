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

/// The rows of all tables and their content hash. Copies share the rows, so
/// that a copy duplicates pointers only.
struct config_tables
{
    std::map<row_key, std::shared_ptr<const route_row>> routes_;
    std::map<row_key, std::shared_ptr<const pool_row>> pools_;
    std::map<row_key, std::shared_ptr<const account_row>> accounts_;
    content_hash hash_;
};

/// Applies one change to the tables and updates their content hash.
void apply_change(config_tables& tables, const row_change& change);

/// Checks that every pool of a route exists and belongs to the account of the
/// route or is shared with it. The error is `invalid_row`; its message names
/// the route and the pool.
result<void> check_references(const config_tables& tables);

/// Like `check_references`, for the routes of `accounts` only.
result<void> check_references(
    const config_tables& tables, const std::set<client_account_id>& accounts);

/// Returns the iterator range of an account's rows. Their keys start with the
/// account name and a slash.
template <class Row>
auto account_rows(
    const std::map<row_key, Row>& rows, const client_account_id& account)
{
    // Keys of the account sort before the account name followed by the
    // character after '/'.
    return std::pair{
        rows.lower_bound(row_key{account.value() + "/"}),
        rows.lower_bound(
            row_key{account.value() + static_cast<char>('/' + 1)})};
}

/// Checks the content hash of the tables. The error is `hash_mismatch`.
result<void>
check_hash(const config_tables& tables, const content_hash& expected);

/// Returns every row as an upsert. Pools precede the routes that use them.
std::vector<row_change> all_rows(const config_tables& tables);

} // namespace hemlockshelf

#endif
