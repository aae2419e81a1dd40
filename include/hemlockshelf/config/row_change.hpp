#ifndef HEMLOCKSHELF_CONFIG_ROW_CHANGE_HPP
#define HEMLOCKSHELF_CONFIG_ROW_CHANGE_HPP

#include <variant>

#include "hemlockshelf/config/pool_row.hpp"
#include "hemlockshelf/config/route_row.hpp"
#include "hemlockshelf/config/table_id.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Marks that a row is deleted.
using row_deletion = std::monostate;

/// New content of one row.
struct row_change
{
    table_id table_ = table_id::routes;
    row_key key_;
    /// The row, of the type that belongs to `table_`, or its deletion.
    std::variant<row_deletion, route_row, pool_row> row_;

    friend bool operator==(const row_change&, const row_change&) = default;
};

} // namespace hemlockshelf

#endif
