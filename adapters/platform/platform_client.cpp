#include "adapters/platform/platform_client.hpp"

#include <cstdint>
#include <utility>

#include <fmt/format.h>

#include "adapters/http/json_server.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

tl::unexpected<error> unavailable(const std::string& what)
{
    return make_error(
        error_kind::platform_unavailable, fmt::format("platform: {}", what));
}

std::string encode_query(const std::string& text)
{
    std::string encoded;
    for (const char character : text)
    {
        const auto byte = static_cast<unsigned char>(character);
        const bool plain = (byte >= '0' && byte <= '9') ||
                           (byte >= 'A' && byte <= 'Z') ||
                           (byte >= 'a' && byte <= 'z') || byte == '-' ||
                           byte == '.' || byte == '_';
        encoded += plain ? std::string(1, character)
                         : fmt::format("%{:02X}", unsigned{byte});
    }
    return encoded;
}

nlohmann::json to_json(const transaction& writes)
{
    auto checks = nlohmann::json::array();
    for (const auto& check : writes.checks_)
    {
        checks.push_back(
            {{"table", check.table_},
             {"key", check.key_},
             {"version", check.version_.value()}});
    }
    auto rows = nlohmann::json::array();
    for (const auto& write : writes.writes_)
    {
        rows.push_back(
            {{"table", write.table_},
             {"key", write.key_},
             {"value", write.value_}});
    }
    return {{"checks", std::move(checks)}, {"writes", std::move(rows)}};
}

result<stored_row>
row_from_json(const nlohmann::json& json, const std::string& key)
{
    const bool well_formed = json.is_object() && json.contains("version") &&
                             json.at("version").is_number_unsigned() &&
                             json.contains("value");
    if (!well_formed)
    {
        return unavailable("malformed row in an answer");
    }
    return stored_row{
        key, row_version{json.at("version").get<std::uint64_t>()},
        json.at("value")};
}

} // namespace

platform_client::platform_client(http_target platform)
    : platform_(std::move(platform))
{}

result<std::optional<stored_row>>
platform_client::read(const std::string& table, const std::string& key)
{
    const auto path =
        fmt::format("/v1/tables/{}/rows?key={}", table, encode_query(key));
    const auto answer =
        blocking_exchange(platform_, make_request(http::verb::get, path));
    if (!answer)
    {
        return unavailable(answer.error().message_);
    }
    if (answer->result() == http::status::not_found)
    {
        return std::nullopt;
    }
    if (answer->result() != http::status::ok)
    {
        return unavailable(fmt::format("status {}", answer->result_int()));
    }
    const auto json = parse_json(answer->body());
    if (!json)
    {
        return unavailable(json.error().message_);
    }
    return row_from_json(*json, key)
        .map(
            [](stored_row&& row)
            {
                return std::optional(std::move(row));
            });
}

result<std::vector<stored_row>> platform_client::scan(const scan_range& range)
{
    const auto path = fmt::format(
        "/v1/tables/{}/scan?after={}&prefix={}&limit={}", range.table_,
        encode_query(range.after_), encode_query(range.prefix_), range.limit_);
    const auto answer =
        blocking_exchange(platform_, make_request(http::verb::get, path));
    if (!answer)
    {
        return unavailable(answer.error().message_);
    }
    const auto json = parse_json(answer->body());
    if (answer->result() != http::status::ok || !json ||
        !json->contains("rows"))
    {
        return unavailable(fmt::format("status {}", answer->result_int()));
    }
    std::vector<stored_row> rows;
    for (const auto& item : json->at("rows"))
    {
        auto row = row_from_json(item, item.value("key", std::string{}));
        if (!row)
        {
            return tl::unexpected<error>(row.error());
        }
        rows.push_back(std::move(*row));
    }
    return rows;
}

result<void> platform_client::commit(const transaction& writes)
{
    const auto answer = blocking_exchange(
        platform_,
        make_request(
            http::verb::post, "/v1/transactions", to_json(writes).dump()));
    if (!answer)
    {
        if (answer.error().kind_ == error_kind::outcome_unknown)
        {
            return tl::unexpected<error>(answer.error());
        }
        return unavailable(answer.error().message_);
    }
    switch (answer->result_int())
    {
    case 200:
        return {};
    case 409:
        return make_error(
            error_kind::conflict,
            fmt::format("transaction: {}", answer->body()));
    case 429:
    case 503:
        return unavailable(fmt::format("status {}", answer->result_int()));
    default:
        return make_error(
            error_kind::outcome_unknown,
            fmt::format("transaction: status {}", answer->result_int()));
    }
}

result<void>
platform_client::put(const std::string& name, const std::string& content)
{
    const auto answer = blocking_exchange(
        platform_,
        make_request(http::verb::put, "/v1/objects/" + name, content));
    if (!answer)
    {
        return unavailable(answer.error().message_);
    }
    if (answer->result_int() / 100 != 2)
    {
        return unavailable(fmt::format("status {}", answer->result_int()));
    }
    return {};
}

result<std::optional<std::string>> platform_client::get(const std::string& name)
{
    const auto answer = blocking_exchange(
        platform_, make_request(http::verb::get, "/v1/objects/" + name));
    if (!answer)
    {
        return unavailable(answer.error().message_);
    }
    if (answer->result() == http::status::not_found)
    {
        return std::nullopt;
    }
    if (answer->result() != http::status::ok)
    {
        return unavailable(fmt::format("status {}", answer->result_int()));
    }
    return std::optional(answer->body());
}

} // namespace hemlockshelf
