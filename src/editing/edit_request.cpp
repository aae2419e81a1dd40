#include "hemlockshelf/editing/edit_request.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/config/config_delta.hpp"
#include "hemlockshelf/config/row_limits.hpp"

namespace hemlockshelf {

namespace {

constexpr std::size_t max_id_length = 64;
constexpr std::size_t max_edits = 1000;

// Unknown fields are rejected: with a misspelled `expected_version` or
// `dry_run` the edit would otherwise be committed without the intended
// protection.
result<void> check_fields(
    const nlohmann::json& json, std::initializer_list<std::string_view> known)
{
    for (const auto& item : json.items())
    {
        if (std::ranges::find(known, item.key()) == known.end())
        {
            return make_error(
                error_kind::bad_request,
                fmt::format("edit: unknown field \"{}\"", item.key()));
        }
    }
    return {};
}

result<std::optional<row_version>> read_version(const nlohmann::json& json)
{
    const auto found = json.find("expected_version");
    if (found == json.end())
    {
        return std::nullopt;
    }
    if (!found->is_number_unsigned())
    {
        return make_error(
            error_kind::bad_request,
            fmt::format(
                "field \"expected_version\": expected a whole number, given {}",
                found->dump()));
    }
    return row_version{found->get<std::uint64_t>()};
}

result<row_edit> read_edit(const nlohmann::json& json)
{
    if (!json.is_object() || !json.contains("row"))
    {
        return make_error(
            error_kind::bad_request,
            fmt::format(
                "edit: expected an object with the field \"row\" (null "
                "deletes), given {}",
                json.dump()));
    }
    const auto fields =
        check_fields(json, {"table", "key", "row", "expected_version"});
    if (!fields)
    {
        return tl::unexpected<error>(fields.error());
    }
    const auto* list = json.at("row").is_null() ? "deletes" : "upserts";
    auto changes = changes_from_json({{list, nlohmann::json::array({json})}});
    const auto checked =
        changes ? check_change(changes->front(), edited_row_limits())
                : result<void>(tl::unexpected<error>(changes.error()));
    if (!checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    return read_version(json).map(
        [&changes](std::optional<row_version> version)
        {
            return row_edit{std::move(changes->front()), version};
        });
}

result<bool> read_dry_run(const nlohmann::json& json)
{
    const auto found = json.find("dry_run");
    if (found == json.end())
    {
        return false;
    }
    if (!found->is_boolean())
    {
        return make_error(
            error_kind::bad_request,
            fmt::format(
                "field \"dry_run\": expected true or false, given {}",
                found->dump()));
    }
    return found->get<bool>();
}

result<std::string> read_id_text(const nlohmann::json& json, const char* field)
{
    const auto found = json.find(field);
    const bool well_formed = found != json.end() && found->is_string() &&
                             !found->get<std::string>().empty() &&
                             found->get<std::string>().size() <= max_id_length;
    if (!well_formed)
    {
        return make_error(
            error_kind::bad_request,
            fmt::format(
                "field \"{}\": expected 1 to {} characters", field,
                max_id_length));
    }
    return found->get<std::string>();
}

} // namespace

result<edit_request> edit_request_from_json(
    const nlohmann::json& json, const client_account_id& account)
{
    if (!json.is_object() || !json.contains("edits") ||
        !json.at("edits").is_array())
    {
        return make_error(
            error_kind::bad_request,
            "edit: expected an object with the list \"edits\"");
    }
    const auto fields =
        check_fields(json, {"change_id", "actor", "dry_run", "edits"});
    if (!fields)
    {
        return tl::unexpected<error>(fields.error());
    }
    const auto& items = json.at("edits");
    if (items.empty() || items.size() > max_edits)
    {
        return make_error(
            error_kind::bad_request,
            fmt::format(
                "field \"edits\": expected 1 to {} rows, given {}", max_edits,
                items.size()));
    }
    auto id = read_id_text(json, "change_id");
    if (!id)
    {
        return tl::unexpected<error>(id.error());
    }
    auto actor = read_id_text(json, "actor");
    if (!actor)
    {
        return tl::unexpected<error>(actor.error());
    }
    const auto dry_run = read_dry_run(json);
    if (!dry_run)
    {
        return tl::unexpected<error>(dry_run.error());
    }
    edit_request request;
    request.id_ = change_id{std::move(*id)};
    request.actor_ = std::move(*actor);
    request.account_ = account;
    request.dry_run_ = *dry_run;
    for (const auto& item : items)
    {
        auto edit = read_edit(item);
        if (!edit)
        {
            return tl::unexpected<error>(edit.error());
        }
        request.edits_.push_back(std::move(*edit));
    }
    return request;
}

} // namespace hemlockshelf
