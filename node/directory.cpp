#include "node/directory.hpp"

#include <cstddef>
#include <string>

#include <fmt/format.h>

#include "hemlockshelf/editing/platform_tables.hpp"
#include "node/departure_row.hpp"

namespace hemlockshelf {

namespace {

constexpr std::size_t max_directory_rows = 1000;

std::string key_of(const directory_row& row)
{
    return fmt::format("{}/{}", row.failure_domain_.value(), row.vm_.value());
}

bool has_text(const nlohmann::json& value, const char* field)
{
    return value.is_object() && value.contains(field) &&
           value.at(field).is_string();
}

std::optional<directory_row> read_row(const stored_row& row)
{
    if (!has_text(row.value_, "vm") || !has_text(row.value_, "control"))
    {
        return std::nullopt;
    }
    const auto control =
        parse_endpoint(row.value_.at("control").get<std::string>());
    const auto slash = row.key_.find('/');
    if (!control || slash == std::string::npos)
    {
        return std::nullopt;
    }
    return directory_row{
        failure_domain_id{row.key_.substr(0, slash)},
        vm_id{row.value_.at("vm").get<std::string>()}, *control};
}

row_write make_write(const directory_row& row)
{
    return {
        platform_tables::directory,
        key_of(row),
        {{"vm", row.vm_.value()}, {"control", to_string(row.control_)}}};
}

} // namespace

result<void>
write_directory_row(table_service& tables, const directory_row& row)
{
    return tables.commit({{}, {make_write(row)}});
}

result<void>
register_without_departures(table_service& tables, const directory_row& row)
{
    return tables.commit({{no_departures(row.vm_)}, {make_write(row)}});
}

result<void>
remove_directory_row(table_service& tables, const directory_row& row)
{
    return tables.commit(
        {{}, {{platform_tables::directory, key_of(row), nullptr}}});
}

result<std::vector<directory_row>> read_directory(table_service& tables)
{
    const auto rows =
        tables.scan({platform_tables::directory, "", "", max_directory_rows});
    if (!rows)
    {
        return tl::unexpected<error>(rows.error());
    }
    std::vector<directory_row> found;
    for (const auto& row : *rows)
    {
        if (auto read = read_row(row))
        {
            found.push_back(std::move(*read));
        }
    }
    return found;
}

} // namespace hemlockshelf
