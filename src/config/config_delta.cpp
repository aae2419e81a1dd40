#include "hemlockshelf/config/config_delta.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/config/row_codec.hpp"
#include "hemlockshelf/config/row_limits.hpp"

namespace hemlockshelf {

namespace {

result<row_change> read_table_and_key(const nlohmann::json& json)
{
    const auto is_text = [&json](const char* field)
    {
        return json.is_object() && json.contains(field) &&
               json.at(field).is_string();
    };
    if (!is_text("table") || !is_text("key"))
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "change: expected the fields \"table\" and \"key\", given {}",
                json.dump()));
    }
    const auto table = find_table(json.at("table").get<std::string>());
    if (!table)
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "change: expected the table \"routes\", \"pools\" or "
                "\"accounts\", given {}",
                json.at("table").dump()));
    }
    row_change change;
    change.table_ = *table;
    change.key_ = row_key{json.at("key").get<std::string>()};
    const auto key = check_key(change.key_, held_row_limits());
    if (!key)
    {
        return tl::unexpected<error>(key.error());
    }
    return change;
}

result<row_change> read_upsert(const nlohmann::json& json)
{
    auto change = read_table_and_key(json);
    if (!change)
    {
        return change;
    }
    const auto name_row = [&change](error failure)
    {
        return in_row(*change, std::move(failure));
    };
    const auto row = json.value("row", nlohmann::json{});
    if (change->table_ == table_id::routes)
    {
        return route_from_json(row)
            .map(
                [&change](route_row&& route)
                {
                    change->row_ = std::move(route);
                    return *change;
                })
            .map_error(name_row);
    }
    if (change->table_ == table_id::accounts)
    {
        return account_from_json(row)
            .map(
                [&change](account_row&& account)
                {
                    change->row_ = std::move(account);
                    return *change;
                })
            .map_error(name_row);
    }
    return pool_from_json(row)
        .map(
            [&change](pool_row&& pool)
            {
                change->row_ = std::move(pool);
                return *change;
            })
        .map_error(name_row);
}

nlohmann::json row_to_json(const row_change& change)
{
    if (const auto* route = std::get_if<route_row>(&change.row_))
    {
        return to_json(*route);
    }
    if (const auto* account = std::get_if<account_row>(&change.row_))
    {
        return to_json(*account);
    }
    return to_json(std::get<pool_row>(change.row_));
}

} // namespace

revision base_revision(const config_delta& delta)
{
    return delta.base_.value_or(
        revision{delta.to_.value() > 0 ? delta.to_.value() - 1 : 0});
}

config_delta combine(const std::vector<config_delta>& deltas)
{
    config_delta combined = deltas.back();
    combined.base_ = base_revision(deltas.front());
    combined.changes_.clear();
    std::map<std::pair<table_id, row_key>, std::size_t> positions;
    for (const auto& delta : deltas)
    {
        for (const auto& change : delta.changes_)
        {
            const auto [position, is_new] = positions.try_emplace(
                {change.table_, change.key_}, combined.changes_.size());
            if (is_new)
            {
                combined.changes_.push_back(change);
            }
            else
            {
                combined.changes_[position->second] = change;
            }
        }
    }
    return combined;
}

nlohmann::json changes_to_json(const std::vector<row_change>& changes)
{
    auto upserts = nlohmann::json::array();
    auto deletes = nlohmann::json::array();
    for (const auto& change : changes)
    {
        nlohmann::json item{
            {"table", to_string(change.table_)}, {"key", change.key_.value()}};
        if (std::holds_alternative<row_deletion>(change.row_))
        {
            deletes.push_back(std::move(item));
            continue;
        }
        item["row"] = row_to_json(change);
        upserts.push_back(std::move(item));
    }
    return {{"upserts", std::move(upserts)}, {"deletes", std::move(deletes)}};
}

result<std::vector<row_change>> changes_from_json(const nlohmann::json& json)
{
    if (!json.is_object())
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format("delta: expected an object, given {}", json.dump()));
    }
    std::vector<row_change> changes;
    for (const auto& item : json.value("upserts", nlohmann::json::array()))
    {
        auto change = read_upsert(item);
        if (!change)
        {
            return tl::unexpected<error>(change.error());
        }
        changes.push_back(std::move(*change));
    }
    for (const auto& item : json.value("deletes", nlohmann::json::array()))
    {
        auto change = read_table_and_key(item);
        if (!change)
        {
            return tl::unexpected<error>(change.error());
        }
        changes.push_back(std::move(*change));
    }
    return changes;
}

nlohmann::json to_json(const config_delta& delta)
{
    nlohmann::json json{
        {"revision", delta.to_.value()},
        {"hash", delta.result_hash_.to_string()},
        {"delta", changes_to_json(delta.changes_)}};
    if (delta.base_)
    {
        json["base"] = delta.base_->value();
    }
    return json;
}

result<config_delta> delta_from_json(const nlohmann::json& json)
{
    const bool well_formed =
        json.is_object() && json.contains("revision") &&
        json.at("revision").is_number_unsigned() && json.contains("hash") &&
        json.at("hash").is_string() && json.contains("delta");
    if (!well_formed)
    {
        return make_error(
            error_kind::invalid_row,
            "delta: expected the fields \"revision\", \"hash\" and \"delta\"");
    }
    const auto hash =
        content_hash::from_string(json.at("hash").get<std::string>());
    if (!hash)
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "delta: expected a hash of 32 hexadecimal digits, given {}",
                json.at("hash").dump()));
    }
    const revision to{json.at("revision").get<std::uint64_t>()};
    std::optional<revision> base;
    if (const auto given = json.find("base"); given != json.end())
    {
        if (!given->is_number_unsigned() ||
            given->get<std::uint64_t>() >= to.value())
        {
            return make_error(
                error_kind::invalid_row,
                fmt::format(
                    "delta: expected a \"base\" below revision {}, given {}",
                    to.value(), given->dump()));
        }
        base = revision{given->get<std::uint64_t>()};
    }
    auto changes = changes_from_json(json.at("delta"));
    if (!changes)
    {
        return tl::unexpected<error>(changes.error());
    }
    return config_delta{to, std::move(*changes), *hash, base};
}

} // namespace hemlockshelf
