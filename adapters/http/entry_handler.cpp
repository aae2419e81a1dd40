#include "adapters/http/entry_handler.hpp"

#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "adapters/http/headers.hpp"
#include "adapters/http/http_client.hpp"
#include "adapters/http/refusal.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

std::string_view to_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

error gate_error(const error& failure)
{
    if (failure.kind_ == error_kind::unreachable)
    {
        return {error_kind::gate_unreachable, failure.message_};
    }
    return failure;
}

} // namespace

asio::awaitable<http_response>
handle_call(const entry_context& context, http_request request)
{
    remove_internal_headers(request);
    const client_account_id account{
        std::string(to_view(request[headers::account]))};
    const auto snapshot = context.snapshots_->current();
    if (!snapshot->has_account(account))
    {
        co_return call_error_response(
            {error_kind::unknown_account,
             fmt::format("account \"{}\": unknown", account.value())});
    }
    const auto host = without_port(to_view(request[http::field::host]));
    const auto* route =
        snapshot->find_route(account, host, to_view(request.target()));
    if (route == nullptr)
    {
        co_return call_error_response(
            {error_kind::no_route,
             fmt::format(
                 "no route of account \"{}\" for host \"{}\" and path \"{}\"",
                 account.value(), host, to_view(request.target()))});
    }
    const auto gate = context.choose_gate_(*route);
    if (!gate)
    {
        co_return call_error_response(
            {error_kind::no_upstream,
             fmt::format(
                 "pool \"{}\": no upstream", route->pool_key_.value())});
    }
    request.set(headers::pool, route->pool_key_.value());
    request.set(headers::traffic_class, to_string(route->route_->class_));
    request.set(headers::entry_vm, context.vm_.value());
    const http_target target{
        *gate, context.source_address_, route->route_->timeout_};
    const auto answer = co_await async_exchange(target, std::move(request));
    if (!answer)
    {
        co_return call_error_response(gate_error(answer.error()));
    }
    co_return *answer;
}

} // namespace hemlockshelf
