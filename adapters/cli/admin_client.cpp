#include "adapters/cli/admin_client.hpp"

#include <utility>

#include <boost/beast/http/verb.hpp>
#include <fmt/format.h>

#include "adapters/http/headers.hpp"
#include "adapters/http/json_server.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

error error_of(const http_response& response)
{
    const auto name = response[headers::error];
    const auto kind =
        find_error_kind(std::string_view(name.data(), name.size()));
    const auto json = parse_json(response.body());
    auto message = json && json->is_object()
                       ? json->value("message", std::string{})
                       : fmt::format("status {}", response.result_int());
    return {kind.value_or(error_kind::internal), std::move(message)};
}

} // namespace

admin_client::admin_client(const cli_options& options) : options_(options) {}

result<nlohmann::json> admin_client::get(const std::string& path) const
{
    result<nlohmann::json> answer =
        make_error(error_kind::usage, "--node: expected an admin address");
    for (const auto& node : options_.nodes_)
    {
        answer = get_from(node, path);
        if (answer || answer.error().kind_ != error_kind::unreachable)
        {
            return answer;
        }
    }
    return answer;
}

result<nlohmann::json>
admin_client::get_from(const endpoint& node, const std::string& path) const
{
    auto answer = send(node, make_request(http::verb::get, path));
    if (!answer && answer.error().kind_ == error_kind::outcome_unknown)
    {
        return make_error(error_kind::unreachable, answer.error().message_);
    }
    return answer;
}

result<nlohmann::json>
admin_client::post(const std::string& path, const nlohmann::json& body) const
{
    result<nlohmann::json> answer =
        make_error(error_kind::usage, "--node: expected an admin address");
    for (const auto& node : options_.nodes_)
    {
        answer = send(node, make_request(http::verb::post, path, body.dump()));
        if (answer || answer.error().kind_ != error_kind::unreachable)
        {
            return answer;
        }
    }
    return answer;
}

result<nlohmann::json>
admin_client::send(const endpoint& node, http_request request) const
{
    if (!options_.token_.empty())
    {
        request.set(http::field::authorization, "Bearer " + options_.token_);
    }
    const auto response =
        blocking_exchange({node, {}, options_.timeout_}, request);
    if (!response)
    {
        return tl::unexpected<error>(response.error());
    }
    if (response->result() != http::status::ok)
    {
        return tl::unexpected<error>(error_of(*response));
    }
    return parse_json(response->body());
}

} // namespace hemlockshelf
