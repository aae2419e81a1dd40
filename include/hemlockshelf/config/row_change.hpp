#ifndef HEMLOCKSHELF_CONFIG_ROW_CHANGE_HPP
#define HEMLOCKSHELF_CONFIG_ROW_CHANGE_HPP

#include <variant>

#include "hemlockshelf/config/account_row.hpp"
#include "hemlockshelf/config/pool_row.hpp"
#include "hemlockshelf/config/route_row.hpp"
#include "hemlockshelf/config/table_id.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Alternative of `row_change::row_` for a deleted row.
using row_deletion = std::monostate;

/// Insertion, update or deletion of one row.
struct row_change
{
    table_id table_ = table_id::routes;
    row_key key_;
    /// The new row, of the row type of `table_`, or its deletion.
    std::variant<row_deletion, route_row, pool_row, account_row> row_;

    friend bool operator==(const row_change&, const row_change&) = default;
};

} // namespace hemlockshelf

#endif
