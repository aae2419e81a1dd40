#include "hemlockshelf/editing/edit_request.hpp"

#include <cstddef>
#include <cstdint>
#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/config/config_delta.hpp"

namespace hemlockshelf {

namespace {

constexpr std::size_t max_id_length = 64;
constexpr std::size_t max_edits = 1000;

result<row_edit> read_edit(const nlohmann::json& json)
{
    const auto has_row =
        json.is_object() && json.contains("row") && !json.at("row").is_null();
    const nlohmann::json wrapped{
        {has_row ? "upserts" : "deletes", nlohmann::json::array({json})}};
    auto changes = changes_from_json(wrapped);
    if (!changes)
    {
        return tl::unexpected<error>(changes.error());
    }
    row_edit edit{std::move(changes->front()), std::nullopt};
    if (!json.contains("expected_version"))
    {
        return edit;
    }
    const auto& version = json.at("expected_version");
    if (!version.is_number_unsigned())
    {
        return make_error(
            error_kind::bad_request,
            fmt::format(
                "field \"expected_version\": expected a whole number, given {}",
                version.dump()));
    }
    edit.expected_version_ = row_version{version.get<std::uint64_t>()};
    return edit;
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
    edit_request request;
    request.id_ = change_id{std::move(*id)};
    request.actor_ = std::move(*actor);
    request.account_ = account;
    const auto dry_run = json.find("dry_run");
    request.dry_run_ =
        dry_run != json.end() && dry_run->is_boolean() && dry_run->get<bool>();
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
