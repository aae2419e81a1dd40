#ifndef HEMLOCKSHELF_CONFIG_TABLE_ID_HPP
#define HEMLOCKSHELF_CONFIG_TABLE_ID_HPP

#include <optional>
#include <string_view>

namespace hemlockshelf {

/// The configuration tables.
enum class table_id
{
    routes,
    pools,
    /// Client accounts and their API keys. Not edited through nodes.
    accounts,
};

/// Returns the name of the table in the table service.
std::string_view to_string(table_id table);

/// Returns the table with the given name, or nothing if there is none.
std::optional<table_id> find_table(std::string_view name);

} // namespace hemlockshelf

#endif
