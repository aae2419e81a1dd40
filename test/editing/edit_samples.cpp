#include "test/editing/edit_samples.hpp"

#include <utility>

namespace hemlockshelf {

row_edit pool_edit(const std::string& key, const std::string& service)
{
    return {
        {table_id::pools, row_key{key}, pool_row{service_name{service}, {}}},
        std::nullopt};
}

row_edit route_edit(const std::string& key, const std::string& pool)
{
    route_row route;
    route.host_ = "catalogue.regie";
    route.pool_ = row_key{pool};
    return {{table_id::routes, row_key{key}, route}, std::nullopt};
}

row_edit deletion(table_id table, const std::string& key)
{
    return {{table, row_key{key}, row_deletion{}}, std::nullopt};
}

row_edit with_expected_version(row_edit edit, std::uint64_t version)
{
    edit.expected_version_ = row_version{version};
    return edit;
}

edit_request make_request(const std::string& id, std::vector<row_edit> edits)
{
    return {
        change_id{id}, "operator", client_account_id{"regie"}, false,
        std::move(edits)};
}

editing_settings unlimited_settings()
{
    constexpr std::uint32_t no_limit = 1'000'000;
    editing_settings settings;
    settings.quotas_.max_rows_ = no_limit;
    settings.quotas_.max_accepted_ = no_limit;
    settings.quotas_.max_submitted_per_second_ = no_limit;
    settings.quotas_.max_concurrent_ = no_limit;
    return settings;
}

} // namespace hemlockshelf
