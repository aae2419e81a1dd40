#ifndef HEMLOCKSHELF_CONFIG_TABLE_BUILDER_HPP
#define HEMLOCKSHELF_CONFIG_TABLE_BUILDER_HPP

#include <set>

#include "hemlockshelf/config/config_tables.hpp"

namespace hemlockshelf {

/// Builds tables from the full set of their rows, reusing a previous state.
/// Unchanged rows are shared with that state and not hashed again, so that the
/// cost for large tables depends mostly on the number of changed rows.
class table_builder
{
public:
    explicit table_builder(const config_tables& previous);

    /// Adds a row, which replaces an earlier one with the same key.
    void put(const row_key& key, const route_row& row);
    void put(const row_key& key, const pool_row& row);
    void put(const row_key& key, const account_row& row);

    /// Returns tables with exactly the rows that were added.
    [[nodiscard]] config_tables finish() &&;

private:
    config_tables tables_;
    std::set<row_key> routes_;
    std::set<row_key> pools_;
    std::set<row_key> accounts_;
};

} // namespace hemlockshelf

#endif
