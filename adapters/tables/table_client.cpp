#include "adapters/tables/table_client.hpp"

#include <chrono>
#include <cstdint>
#include <string_view>
#include <system_error>
#include <utility>

#include <fmt/format.h>

#include "adapters/http/json_server.hpp"
#include "adapters/http/query_encoding.hpp"
#include "hemlockshelf/core/error_table.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

tl::unexpected<error> unavailable(const std::string& what)
{
    return make_error(
        error_kind::platform_unavailable, fmt::format("platform: {}", what));
}

/// A read that got no answer changed nothing, and neither did the storing of a
/// blob, whose content never differs.
tl::unexpected<error> without_effect(error failure)
{
    failure.kind_ = error_kind::platform_unavailable;
    return tl::unexpected<error>(std::move(failure));
}

tl::unexpected<error> failed_read(const error& failure)
{
    return failure.kind_ == error_kind::rate_limited
               ? tl::unexpected<error>(failure)
               : without_effect(failure);
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

result<stored_row> keyed_row_from_json(const nlohmann::json& json)
{
    if (!json.is_object() || !json.contains("key") ||
        !json.at("key").is_string())
    {
        return unavailable("malformed row in an answer");
    }
    return row_from_json(json, json.at("key").get<std::string>());
}

result<void> expect_success(const http_response& answer)
{
    if (answer.result_int() / 100 == 2)
    {
        return {};
    }
    return unavailable(fmt::format("status {}", answer.result_int()));
}

result<nlohmann::json> json_of(const http_response& answer)
{
    auto json = parse_json(answer.body());
    if (!json)
    {
        return unavailable(json.error().message_);
    }
    return json;
}

} // namespace

table_client::table_client(http_target platform, metric_sink* metrics)
    : platform_(std::move(platform)), metrics_(metrics)
{}

result<std::optional<stored_row>>
table_client::read(const std::string& table, const std::string& key)
{
    const auto path =
        fmt::format("/v1/tables/{}/rows?key={}", table, encode_query(key));
    const auto answer = send(make_request(http::verb::get, path));
    if (!answer)
    {
        return failed_read(answer.error());
    }
    if (answer->result() == http::status::not_found)
    {
        return std::nullopt;
    }
    const auto json = json_of(*answer);
    if (!json)
    {
        return tl::unexpected<error>(json.error());
    }
    return row_from_json(*json, key)
        .map(
            [](stored_row&& row)
            {
                return std::optional(std::move(row));
            });
}

result<std::vector<stored_row>> table_client::scan(const scan_range& range)
{
    const auto path = fmt::format(
        "/v1/tables/{}/scan?after={}&prefix={}&limit={}", range.table_,
        encode_query(range.after_), encode_query(range.prefix_), range.limit_);
    const auto answer = send(make_request(http::verb::get, path));
    if (!answer)
    {
        return failed_read(answer.error());
    }
    const auto json = json_of(*answer);
    if (!json)
    {
        return tl::unexpected<error>(json.error());
    }
    if (!json->is_object() || !json->contains("rows"))
    {
        return unavailable("scan: expected the list \"rows\" in the answer");
    }
    std::vector<stored_row> rows;
    for (const auto& item : json->at("rows"))
    {
        auto row = keyed_row_from_json(item);
        if (!row)
        {
            return tl::unexpected<error>(row.error());
        }
        rows.push_back(std::move(*row));
    }
    return rows;
}

result<void> table_client::commit(const transaction& writes)
{
    const auto answer = send(make_request(
        http::verb::post, "/v1/transactions", to_json(writes).dump()));
    if (!answer)
    {
        return tl::unexpected<error>(answer.error());
    }
    if (answer->result() == http::status::conflict)
    {
        return make_error(
            error_kind::conflict,
            fmt::format("transaction: {}", answer->body()));
    }
    return expect_success(*answer);
}

result<void>
table_client::put(const std::string& name, const std::string& content)
{
    const auto answer =
        send(make_request(http::verb::put, "/v1/objects/" + name, content));
    if (!answer)
    {
        return without_effect(answer.error());
    }
    return expect_success(*answer);
}

result<std::optional<std::string>> table_client::get(const std::string& name)
{
    const auto answer =
        send(make_request(http::verb::get, "/v1/objects/" + name));
    if (!answer)
    {
        return without_effect(answer.error());
    }
    if (answer->result() == http::status::not_found)
    {
        return std::nullopt;
    }
    return expect_success(*answer).map(
        [&answer]
        {
            return std::optional(answer->body());
        });
}

result<void> table_client::remove(const std::string& name)
{
    const auto answer =
        send(make_request(http::verb::delete_, "/v1/objects/" + name));
    if (!answer)
    {
        return without_effect(answer.error());
    }
    if (answer->result() == http::status::not_found)
    {
        return {};
    }
    return expect_success(*answer);
}

std::chrono::milliseconds table_client::retry_after() const
{
    return named_wait_;
}

result<http_response> table_client::send(const http_request& request)
{
    auto answer = receive(request);
    if (metrics_ != nullptr)
    {
        metrics_->add(
            metric_id::platform_requests,
            answer ? std::string_view("ok")
                   : error_properties_of(answer.error().kind_).name_);
    }
    return answer;
}

result<http_response> table_client::receive(const http_request& request)
{
    auto answer = blocking_exchange(platform_, request);
    if (!answer && answer.error().kind_ == error_kind::outcome_unknown)
    {
        return answer;
    }
    if (!answer)
    {
        return unavailable(answer.error().message_);
    }
    const auto status = answer->result_int();
    const bool is_answer = status / 100 == 2 ||
                           answer->result() == http::status::not_found ||
                           answer->result() == http::status::conflict;
    if (is_answer)
    {
        return answer;
    }
    const auto what = describe(request, *answer);
    const auto kind = failed_status_kind(*answer);
    if (kind == error_kind::outcome_unknown)
    {
        return make_error(kind, what);
    }
    if (kind == error_kind::rate_limited)
    {
        named_wait_ = parse_retry_after(*answer);
    }
    return make_error(kind, fmt::format("platform: {}", what));
}

} // namespace hemlockshelf
