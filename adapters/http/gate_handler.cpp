#include "adapters/http/gate_handler.hpp"

#include <chrono>
#include <utility>

#include "adapters/http/http_client.hpp"
#include "adapters/http/refusal.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds upstream_timeout{30};

error upstream_error(const error& failure)
{
    if (failure.kind_ == error_kind::unreachable)
    {
        return {error_kind::no_upstream, failure.message_};
    }
    return {error_kind::upstream_failed, failure.message_};
}

} // namespace

asio::awaitable<http_response>
handle_gate_call(const gate_context& context, http_request request)
{
    const auto upstream = context.upstream_();
    if (!upstream)
    {
        co_return call_error_response(
            {error_kind::no_upstream, "gate: no upstream is announced"});
    }
    if (upstream->draining_)
    {
        co_return call_error_response(
            {error_kind::draining, "gate: the upstream is draining"});
    }
    const auto server = parse_endpoint(upstream->address_);
    if (!server)
    {
        co_return call_error_response(server.error());
    }
    remove_internal_headers(request);
    const http_target target{*server, {}, upstream_timeout};
    auto answer = co_await async_exchange(target, std::move(request));
    if (!answer)
    {
        co_return call_error_response(upstream_error(answer.error()));
    }
    remove_internal_headers(*answer);
    co_return std::move(*answer);
}

} // namespace hemlockshelf
