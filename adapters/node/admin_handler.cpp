#include "adapters/node/admin_handler.hpp"

#include <utility>

#include "adapters/http/json_server.hpp"
#include "adapters/node/edit_handlers.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

http_response show_status(const admin_context& context)
{
    const auto snapshot = context.snapshots_->current();
    return json_response(
        200, {{"vm", context.settings_->vm_.value()},
              {"failure_domain", context.settings_->failure_domain_.value()},
              {"region", context.settings_->region_.value()},
              {"state", "serving"},
              {"revision", snapshot->number().value()},
              {"hash", snapshot->tables().hash_.to_string()}});
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

} // namespace

http_response handle_admin_request(
    const admin_context& context,
    const http_request& request,
    const std::string& peer)
{
    const auto path = path_of(request);
    const bool is_get = request.method() == http::verb::get;
    const bool is_post = request.method() == http::verb::post;
    if (is_get && path == "/v1/status")
    {
        return show_status(context);
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
