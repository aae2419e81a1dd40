#include "hemlockshelf/editing/change_record.hpp"

#include <chrono>
#include <cstdint>
#include <utility>

namespace hemlockshelf {

namespace {

std::int64_t to_milliseconds(wall_time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               time.time_since_epoch())
        .count();
}

audited_row audited_row_from_json(const nlohmann::json& json)
{
    // For an unknown table `at` throws the exception of a missing field.
    static const nlohmann::json tables{
        {"routes", table_id::routes},
        {"pools", table_id::pools},
        {"accounts", table_id::accounts}};
    return {
        tables.at(json.at("table").get<std::string>()).get<table_id>(),
        row_key{json.at("key").get<std::string>()}, json.at("before"),
        json.at("after")};
}

audit_entry audit_from_json(const nlohmann::json& json)
{
    audit_entry entry;
    entry.actor_ = json.at("actor").get<std::string>();
    entry.account_ =
        client_account_id{json.at("client_account").get<std::string>()};
    entry.at_ = wall_time{
        std::chrono::milliseconds{json.at("at_ms").get<std::int64_t>()}};
    entry.vm_ = vm_id{json.at("vm").get<std::string>()};
    for (const auto& item : json.at("edits"))
    {
        entry.rows_.push_back(audited_row_from_json(item));
    }
    return entry;
}

} // namespace

nlohmann::json to_json(const audit_entry& entry)
{
    auto edits = nlohmann::json::array();
    for (const auto& row : entry.rows_)
    {
        edits.push_back(
            {{"table", to_string(row.table_)},
             {"key", row.key_.value()},
             {"before", row.before_},
             {"after", row.after_}});
    }
    return {
        {"actor", entry.actor_},
        {"client_account", entry.account_.value()},
        {"at_ms", to_milliseconds(entry.at_)},
        {"vm", entry.vm_.value()},
        {"edits", std::move(edits)}};
}

nlohmann::json to_json(const change_record& record)
{
    auto json = to_json(record.delta_);
    json["change_id"] = record.id_.value();
    json["audit"] = to_json(record.audit_);
    return json;
}

result<change_record> change_record_from_json(const nlohmann::json& json)
{
    auto delta = delta_from_json(json);
    if (!delta)
    {
        return tl::unexpected<error>(delta.error());
    }
    try
    {
        return change_record{
            change_id{json.at("change_id").get<std::string>()},
            std::move(*delta),
            audit_from_json(json.at("audit")),
            {}};
    }
    catch (const nlohmann::json::exception& failure)
    {
        return make_error(
            error_kind::invalid_row,
            std::string("change row: ") + failure.what());
    }
}

} // namespace hemlockshelf
