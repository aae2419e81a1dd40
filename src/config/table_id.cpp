#include "hemlockshelf/config/table_id.hpp"

#include <algorithm>
#include <array>

namespace hemlockshelf {

namespace {

constexpr std::array all_tables{
    table_id::routes, table_id::pools, table_id::accounts};

} // namespace

std::string_view to_string(table_id table)
{
    switch (table)
    {
    case table_id::routes:
        return "routes";
    case table_id::pools:
        return "pools";
    case table_id::accounts:
        return "accounts";
    }
    return "";
}

std::optional<table_id> find_table(std::string_view name)
{
    const auto* const found = std::ranges::find(
        all_tables, name,
        [](table_id table)
        {
            return to_string(table);
        });
    return found == all_tables.end() ? std::nullopt : std::optional(*found);
}

} // namespace hemlockshelf
