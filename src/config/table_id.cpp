#include "hemlockshelf/config/table_id.hpp"

namespace hemlockshelf {

std::string_view to_string(table_id table)
{
    return table == table_id::routes ? "routes" : "pools";
}

std::optional<table_id> find_table(std::string_view name)
{
    if (name == to_string(table_id::routes))
    {
        return table_id::routes;
    }
    if (name == to_string(table_id::pools))
    {
        return table_id::pools;
    }
    return std::nullopt;
}

} // namespace hemlockshelf
