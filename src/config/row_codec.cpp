#include "hemlockshelf/config/row_codec.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <string_view>

#include <fmt/format.h>

#include "hemlockshelf/config/row_limits.hpp"

namespace hemlockshelf {

namespace {

result<void> check_fields(
    const nlohmann::json& json, std::initializer_list<std::string_view> known)
{
    if (!json.is_object())
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format("row: expected an object, given {}", json.type_name()));
    }
    for (const auto& item : json.items())
    {
        if (std::ranges::find(known, item.key()) == known.end())
        {
            return make_error(
                error_kind::invalid_row,
                fmt::format("row: unknown field \"{}\"", item.key()));
        }
    }
    return {};
}

result<std::string>
read_text(const nlohmann::json& json, const char* field, const char* fallback)
{
    const auto found = json.find(field);
    if (found == json.end() && fallback != nullptr)
    {
        return std::string(fallback);
    }
    if (found == json.end())
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format("field \"{}\": missing, expected text", field));
    }
    if (!found->is_string())
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "field \"{}\": expected text, given {}", field, found->dump()));
    }
    return found->get<std::string>();
}

result<bool>
read_flag(const nlohmann::json& json, const char* field, bool fallback)
{
    const auto found = json.find(field);
    if (found == json.end())
    {
        return fallback;
    }
    if (!found->is_boolean())
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "field \"{}\": expected true or false, given {}", field,
                found->dump()));
    }
    return found->get<bool>();
}

/// Reads a whole number that fits in 32 bits, which every limit of a row does.
result<std::uint32_t> read_number(
    const nlohmann::json& json, const char* field, std::uint32_t fallback)
{
    const auto found = json.find(field);
    if (found == json.end())
    {
        return fallback;
    }
    constexpr auto max = std::numeric_limits<std::uint32_t>::max();
    const bool is_whole =
        found->is_number_integer() &&
        (found->is_number_unsigned() || found->get<std::int64_t>() >= 0);
    if (!is_whole || found->get<std::uint64_t>() > max)
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "field \"{}\": expected a whole number from 0 to {}, given {}",
                field, max, found->dump()));
    }
    return found->get<std::uint32_t>();
}

result<std::vector<pool_share>>
read_split(const nlohmann::json& json, const char* field)
{
    std::vector<pool_share> split;
    const auto found = json.find(field);
    if (found == json.end())
    {
        return split;
    }
    const bool is_list = found->is_array() && !found->empty();
    for (const auto& item : is_list ? *found : nlohmann::json::array())
    {
        auto fields = check_fields(item, {"pool", "weight"});
        const auto pool =
            fields ? read_text(item, "pool", nullptr)
                   : result<std::string>(tl::unexpected<error>(fields.error()));
        if (!pool)
        {
            return tl::unexpected<error>(pool.error());
        }
        const auto weight = read_number(item, "weight", 1);
        if (!weight)
        {
            return tl::unexpected<error>(weight.error());
        }
        split.push_back({row_key{*pool}, *weight});
    }
    if (split.empty())
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "field \"{}\": expected a list of pools, given {}", field,
                found->dump()));
    }
    return split;
}

result<std::set<client_account_id>>
read_accounts(const nlohmann::json& json, const char* field)
{
    std::set<client_account_id> accounts;
    const auto found = json.find(field);
    if (found == json.end())
    {
        return accounts;
    }
    const auto is_account = [](const nlohmann::json& item)
    {
        return item.is_string() && is_account_name(item.get<std::string>());
    };
    if (!found->is_array() || !std::ranges::all_of(*found, is_account))
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "field \"{}\": expected a list of account names, given {}",
                field, found->dump()));
    }
    for (const auto& item : *found)
    {
        accounts.emplace(item.get<std::string>());
    }
    return accounts;
}

result<std::set<std::string>>
read_key_hashes(const nlohmann::json& json, const char* field)
{
    std::set<std::string> hashes;
    const auto found = json.find(field);
    if (found == json.end())
    {
        return hashes;
    }
    const auto is_text = [](const nlohmann::json& item)
    {
        return item.is_string();
    };
    if (!found->is_array() || !std::ranges::all_of(*found, is_text))
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "field \"{}\": expected a list of SHA-256 values", field));
    }
    for (const auto& item : *found)
    {
        hashes.insert(item.get<std::string>());
    }
    return hashes;
}

result<double> read_quantity(const nlohmann::json& json, const char* field)
{
    const auto found = json.find(field);
    if (found == json.end())
    {
        return 0.0;
    }
    if (!found->is_number())
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "field \"{}\": expected a number, given {}", field,
                found->dump()));
    }
    return found->get<double>();
}

// Fields with their default value are omitted, so that the content hash of rows
// that were stored without these fields does not change.
void add_optional_fields(nlohmann::json& json, const route_row& row)
{
    if (row.ignore_method_)
    {
        json["ignore_method"] = true;
    }
    if (row.target_latency_.count() > 0)
    {
        json["target_latency_ms"] = row.target_latency_.count();
    }
    if (row.priority_ != route_row::default_priority)
    {
        json["priority"] = row.priority_;
    }
    if (row.max_attempts_ > 0)
    {
        json["max_attempts"] = row.max_attempts_;
    }
    if (row.public_)
    {
        json["public"] = true;
    }
    for (const auto& share : row.split_)
    {
        json["split"].push_back(
            {{"pool", share.pool_.value()}, {"weight", share.weight_}});
    }
}

result<void> read_optional_fields(const nlohmann::json& json, route_row& row)
{
    const auto ignore_method = read_flag(json, "ignore_method", false);
    if (!ignore_method)
    {
        return tl::unexpected<error>(ignore_method.error());
    }
    row.ignore_method_ = *ignore_method;
    const auto target = read_number(json, "target_latency_ms", 0);
    if (!target)
    {
        return tl::unexpected<error>(target.error());
    }
    row.target_latency_ = std::chrono::milliseconds{*target};
    const auto priority =
        read_number(json, "priority", route_row::default_priority);
    if (!priority)
    {
        return tl::unexpected<error>(priority.error());
    }
    row.priority_ = *priority;
    const auto attempts = read_number(json, "max_attempts", 0);
    if (!attempts)
    {
        return tl::unexpected<error>(attempts.error());
    }
    row.max_attempts_ = *attempts;
    const auto is_public = read_flag(json, "public", false);
    if (!is_public)
    {
        return tl::unexpected<error>(is_public.error());
    }
    row.public_ = *is_public;
    auto split = read_split(json, "split");
    if (!split)
    {
        return tl::unexpected<error>(split.error());
    }
    row.split_ = std::move(*split);
    return {};
}

} // namespace

nlohmann::json to_json(const route_row& row)
{
    nlohmann::json json{
        {"host", row.host_},
        {"path_prefix", row.path_prefix_},
        {"pool", row.pool_.value()},
        {"class", to_string(row.class_)},
        {"timeout_ms", row.timeout_.count()},
        {"idempotent", row.idempotent_},
    };
    add_optional_fields(json, row);
    return json;
}

nlohmann::json to_json(const pool_row& row)
{
    auto shared = nlohmann::json::array();
    for (const auto& account : row.shared_with_)
    {
        shared.push_back(account.value());
    }
    return nlohmann::json{
        {"service", row.service_.value()},
        {"shared_with", std::move(shared)},
        {"shed_is_not_run", row.shed_is_not_run_},
        {"max_concurrent_calls", row.max_concurrent_calls_},
    };
}

result<route_row> route_from_json(const nlohmann::json& json)
{
    const auto fields = check_fields(
        json, {"host", "path_prefix", "pool", "class", "timeout_ms",
               "idempotent", "ignore_method", "target_latency_ms", "priority",
               "max_attempts", "split", "public"});
    const auto host =
        fields ? read_text(json, "host", nullptr)
               : result<std::string>(tl::unexpected<error>(fields.error()));
    if (!host)
    {
        return tl::unexpected<error>(host.error());
    }
    const auto prefix = read_text(json, "path_prefix", "/");
    if (!prefix)
    {
        return tl::unexpected<error>(prefix.error());
    }
    const auto pool = read_text(json, "pool", nullptr);
    if (!pool)
    {
        return tl::unexpected<error>(pool.error());
    }
    const auto class_text = read_text(json, "class", "standard");
    if (!class_text)
    {
        return tl::unexpected<error>(class_text.error());
    }
    const auto class_value = find_traffic_class(*class_text);
    if (!class_value)
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "field \"class\": expected lookup, standard or bulk, given "
                "\"{}\"",
                *class_text));
    }
    const auto timeout = read_number(json, "timeout_ms", 2000);
    if (!timeout)
    {
        return tl::unexpected<error>(timeout.error());
    }
    const auto idempotent = read_flag(json, "idempotent", false);
    if (!idempotent)
    {
        return tl::unexpected<error>(idempotent.error());
    }
    route_row row;
    row.host_ = *host;
    row.path_prefix_ = *prefix;
    row.pool_ = row_key{*pool};
    row.class_ = *class_value;
    row.timeout_ = std::chrono::milliseconds{*timeout};
    row.idempotent_ = *idempotent;
    const auto optional = read_optional_fields(json, row);
    const auto checked =
        optional ? check_row(row, held_row_limits()) : optional;
    if (!checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    return row;
}

result<pool_row> pool_from_json(const nlohmann::json& json)
{
    const auto fields = check_fields(
        json,
        {"service", "shared_with", "shed_is_not_run", "max_concurrent_calls"});
    if (!fields)
    {
        return tl::unexpected<error>(fields.error());
    }
    const auto service = read_text(json, "service", nullptr);
    if (!service)
    {
        return tl::unexpected<error>(service.error());
    }
    const auto shared = read_accounts(json, "shared_with");
    if (!shared)
    {
        return tl::unexpected<error>(shared.error());
    }
    const auto shed = read_flag(json, "shed_is_not_run", false);
    if (!shed)
    {
        return tl::unexpected<error>(shed.error());
    }
    const auto calls = read_number(json, "max_concurrent_calls", 200);
    if (!calls)
    {
        return tl::unexpected<error>(calls.error());
    }
    pool_row row{service_name{*service}, *shared, *shed, *calls};
    const auto checked = check_row(row, held_row_limits());
    if (!checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    return row;
}

nlohmann::json to_json(const account_row& row)
{
    nlohmann::json json{{"key_hashes", row.key_hashes_}};
    if (row.priority_)
    {
        json["priority"] = *row.priority_;
    }
    if (row.requests_per_second_ > 0)
    {
        json["requests_per_second"] = row.requests_per_second_;
    }
    if (row.burst_ > 0)
    {
        json["burst"] = row.burst_;
    }
    return json;
}

result<account_row> account_from_json(const nlohmann::json& json)
{
    const auto fields = check_fields(
        json, {"key_hashes", "priority", "requests_per_second", "burst"});
    if (!fields)
    {
        return tl::unexpected<error>(fields.error());
    }
    auto hashes = read_key_hashes(json, "key_hashes");
    if (!hashes)
    {
        return tl::unexpected<error>(hashes.error());
    }
    const auto priority = read_number(json, "priority", 0);
    if (!priority)
    {
        return tl::unexpected<error>(priority.error());
    }
    const auto rate = read_quantity(json, "requests_per_second");
    if (!rate)
    {
        return tl::unexpected<error>(rate.error());
    }
    const auto burst = read_quantity(json, "burst");
    if (!burst)
    {
        return tl::unexpected<error>(burst.error());
    }
    account_row row;
    row.key_hashes_ = std::move(*hashes);
    if (json.contains("priority"))
    {
        row.priority_ = *priority;
    }
    row.requests_per_second_ = *rate;
    row.burst_ = *burst;
    const auto checked = check_row(row, held_row_limits());
    if (!checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    return row;
}

std::string
row_hash_input(table_id table, const row_key& key, const nlohmann::json& row)
{
    return fmt::format("{}\n{}\n{}", to_string(table), key.value(), row.dump());
}

client_account_id account_of(const row_key& key)
{
    const auto& text = key.value();
    return client_account_id{text.substr(0, text.find('/'))};
}

} // namespace hemlockshelf
