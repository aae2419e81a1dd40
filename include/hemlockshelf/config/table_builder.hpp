#ifndef HEMLOCKSHELF_CONFIG_TABLE_BUILDER_HPP
#define HEMLOCKSHELF_CONFIG_TABLE_BUILDER_HPP

#include <set>

#include "hemlockshelf/config/config_tables.hpp"

namespace hemlockshelf {

/// Builds tables from all of their rows, on the basis of tables held before.
/// Rows that stay the same are shared with those and not hashed again, so that
/// a new state of large tables costs little more than its differences.
class table_builder
{
public:
    explicit table_builder(const config_tables& held);

    /// Adds a row; the later of two with one key stays.
    void put(const row_key& key, const route_row& row);
    void put(const row_key& key, const pool_row& row);

    /// Returns the tables with exactly the rows that were added.
    [[nodiscard]] config_tables finish() &&;

private:
    config_tables tables_;
    std::set<row_key> routes_;
    std::set<row_key> pools_;
};

} // namespace hemlockshelf

#endif
