#include "hemlockshelf/membership/upstream_announcement.hpp"

#include <cstdint>
#include <initializer_list>

#include <fmt/format.h>

namespace hemlockshelf {

namespace {

constexpr std::uint32_t max_count = 1'000'000;

result<void> check_string_fields(const nlohmann::json& json)
{
    for (const auto* field : {"service", "client_account", "address", "state"})
    {
        if (!json.is_object() || !json.contains(field) ||
            !json.at(field).is_string())
        {
            return make_error(
                error_kind::bad_request,
                fmt::format(
                    "announcement: expected a string in field \"{}\"", field));
        }
    }
    return {};
}

result<std::uint32_t> read_count(const nlohmann::json& json, const char* field)
{
    const auto found = json.find(field);
    if (found == json.end() || !found->is_number_unsigned() ||
        found->get<std::uint64_t>() == 0 ||
        found->get<std::uint64_t>() > max_count)
    {
        return make_error(
            error_kind::bad_request,
            fmt::format(
                "announcement: expected a whole number from 1 to {} in \"{}\"",
                max_count, field));
    }
    return found->get<std::uint32_t>();
}

} // namespace

bool same_start(
    const announcement_version& left, const announcement_version& right)
{
    return left.instance_ == right.instance_ &&
           left.started_ms_ == right.started_ms_;
}

bool is_newer(
    const announcement_version& last, const announcement_version& next)
{
    return same_start(last, next) ? next.sequence_ > last.sequence_
                                  : next.started_ms_ > last.started_ms_;
}

bool is_ordered_by_arrival(
    const announcement_version& left, const announcement_version& right)
{
    return same_start(left, right) ? !left.sequence_ && !right.sequence_
                                   : left.started_ms_ == right.started_ms_;
}

result<upstream_announcement> announcement_from_json(const nlohmann::json& json)
{
    const auto fields = check_string_fields(json);
    if (!fields)
    {
        return tl::unexpected<error>(fields.error());
    }
    const auto slots = read_count(json, "slots");
    if (!slots)
    {
        return tl::unexpected<error>(slots.error());
    }
    const auto connections = read_count(json, "connections");
    if (!connections)
    {
        return tl::unexpected<error>(connections.error());
    }
    const auto state = json.at("state").get<std::string>();
    if (state != "ready" && state != "draining")
    {
        return make_error(
            error_kind::bad_request,
            fmt::format(
                "announcement: expected the state ready or draining, given "
                "\"{}\"",
                state));
    }
    upstream_announcement announcement;
    announcement.service_ = service_name{json.at("service").get<std::string>()};
    announcement.account_ =
        client_account_id{json.at("client_account").get<std::string>()};
    announcement.address_ = json.at("address").get<std::string>();
    announcement.slots_ = slot_count{*slots};
    announcement.connections_ = connection_count{*connections};
    announcement.draining_ = state == "draining";
    return announcement;
}

} // namespace hemlockshelf
