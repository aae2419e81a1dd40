#include "node/admin_handler.hpp"

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <utility>

#include <spdlog/spdlog.h>

#include "adapters/http/json_server.hpp"
#include "adapters/telemetry/event_log.hpp"
#include "node/edit_handlers.hpp"
#include "node/operator_tokens.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

nlohmann::json member_counts(const admin_context& context)
{
    auto json = nlohmann::json::object();
    const auto counts = context.members_->count_by_liveness();
    for (std::size_t index = 0; index < counts.size(); ++index)
    {
        json[std::string(to_string(static_cast<liveness>(index)))] =
            counts.at(index);
    }
    return json;
}

http_response show_status(const admin_context& context)
{
    const auto snapshot = context.snapshots_->current();
    return json_response(
        200,
        {{"vm", context.settings_->vm_.value()},
         {"failure_domain", context.settings_->failure_domain_.value()},
         {"region", context.settings_->region_.value()},
         {"state", to_string(context.control_plane_->state())},
         {"incarnation", context.control_plane_->own_incarnation().value()},
         {"members", member_counts(context)},
         {"highest_known_revision",
          context.control_plane_->highest_known_revision().value()},
         {"revision", snapshot->number().value()},
         {"hash", snapshot->tables().hash_.to_string()}});
}

nlohmann::json to_json(const member_entry& entry)
{
    const auto& record = entry.record_;
    return {
        {"vm", record.vm_.value()},
        {"failure_domain", record.failure_domain_.value()},
        {"region", record.region_.value()},
        {"gate", record.gate_address_},
        {"control", record.control_address_},
        {"admin_address", record.admin_address_},
        {"incarnation", record.incarnation_.value()},
        {"sequence", record.sequence_.value()},
        {"state", to_string(record.state_)},
        {"liveness", to_string(entry.liveness_)},
        {"client_account", record.account_.value()},
        {"service", record.service_.value()},
        {"slots", record.slots_.value()},
        {"connections", record.connections_.value()}};
}

http_response show_members(const admin_context& context)
{
    auto members = nlohmann::json::array();
    for (const auto& entry : context.members_->all())
    {
        members.push_back(to_json(entry));
    }
    return json_response(200, {{"members", std::move(members)}});
}

http_response show_metrics(const admin_context& context)
{
    http_response response{http::status::ok, 11};
    response.set(
        http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
    response.body() = context.metrics_->to_text();
    response.prepare_payload();
    return response;
}

http_response
set_log_level(const admin_context& context, const http_request& request)
{
    const auto account = authenticate_operator(context, request);
    if (!account)
    {
        return error_response(account.error());
    }
    const auto level = parse_log_level(query_parameter(request, "level"));
    if (!level)
    {
        return error_response(level.error());
    }
    spdlog::set_level(*level);
    log_event<log_event_id::log_level_changed>(
        log_fields::new_level(query_parameter(request, "level")),
        log_fields::client_account(*account));
    return json_response(200, {{"level", query_parameter(request, "level")}});
}

http_response announce(
    const admin_context& context,
    const http_request& request,
    const std::string& peer)
{
    if (!peer.starts_with("127."))
    {
        return error_response(
            {error_kind::forbidden,
             "announcement: accepted from the node's own VM only"});
    }
    const auto json = parse_json(request.body());
    if (!json)
    {
        return error_response(json.error());
    }
    const auto announcement = announcement_from_json(*json);
    if (!announcement)
    {
        return error_response(announcement.error());
    }
    context.upstream_->announce(*announcement);
    return json_response(200, {{"accepted", true}});
}

http_response explain(const admin_context& context, const http_request& request)
{
    const auto explanation = context.data_plane_->explain(
        client_account_id{query_parameter(request, "account")},
        query_parameter(request, "host"), query_parameter(request, "path"),
        query_parameter(request, "method"));
    if (!explanation)
    {
        return error_response(explanation.error());
    }
    return json_response(200, *explanation);
}

/// Completion of an operation that may outlast the wait for it.
struct completion
{
    std::shared_ptr<std::promise<void>> promise_ =
        std::make_shared<std::promise<void>>();

    [[nodiscard]] std::function<void()> handler() const
    {
        return [promise = promise_]
        {
            promise->set_value();
        };
    }

    bool comes_within(std::chrono::milliseconds time) const
    {
        return promise_->get_future().wait_for(time) ==
               std::future_status::ready;
    }
};

/// Waits until the platform and other nodes hold what this one has acknowledged
/// to its upstream, but not for nodes that do not answer. Returns whether the
/// platform does.
bool hold_upstream(control_plane& plane)
{
    const completion stored;
    const completion shared;
    plane.store_upstream(stored.handler());
    plane.share_upstream(shared.handler());
    shared.comes_within(max_upstream_share_time);
    return stored.comes_within(max_upstream_store_time);
}

http_response drain(const admin_context& context, const http_request& request)
{
    const auto account = authenticate_operator(context, request);
    if (!account)
    {
        return error_response(account.error());
    }
    const auto upstream = context.upstream_->current();
    if (!upstream)
    {
        return error_response(
            {error_kind::no_upstream, "drain: no upstream is announced"});
    }
    if (upstream->account_ != *account)
    {
        return error_response(
            {error_kind::forbidden,
             "drain: the upstream belongs to another account"});
    }
    context.upstream_->drain();
    const bool stored = hold_upstream(*context.control_plane_);
    return json_response(200, {{"draining", true}, {"stored", stored}});
}

} // namespace

result<client_account_id>
authenticate_operator(const admin_context& context, const http_request& request)
{
    const auto header = request[http::field::authorization];
    return authenticate(
        context.settings_->token_hashes_, {header.data(), header.size()});
}

http_response handle_admin_request(
    const admin_context& context,
    const http_request& request,
    const std::string& peer)
{
    const auto path = target_path(request);
    const bool is_get = request.method() == http::verb::get;
    const bool is_post = request.method() == http::verb::post;
    if (is_get && path == "/v1/status")
    {
        return show_status(context);
    }
    if (is_get && path == "/v1/members")
    {
        return show_members(context);
    }
    if (is_get && path == "/metrics")
    {
        return show_metrics(context);
    }
    if (request.method() == http::verb::put && path == "/v1/log_level")
    {
        return set_log_level(context, request);
    }
    if (is_get && path == "/v1/explain")
    {
        return explain(context, request);
    }
    if (is_post && path == "/v1/drain")
    {
        return drain(context, request);
    }
    if (is_post && path == "/v1/announce")
    {
        return announce(context, request, peer);
    }
    if (auto answer = handle_edit_request(context, request))
    {
        return std::move(*answer);
    }
    return error_response(
        {error_kind::not_found, "path: not part of the admin interface"});
}

} // namespace hemlockshelf
