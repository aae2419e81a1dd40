#include "standins/upstream/announcer.hpp"

#include <chrono>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "adapters/http/http_client.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds announce_interval{1};

std::string to_announcement(const upstream_state& state)
{
    const auto& settings = state.settings_;
    const nlohmann::json body{
        {"service", settings.service_},
        {"client_account", settings.client_account_},
        {"address", to_string(settings.listen_)},
        {"slots", settings.slots_},
        {"connections", settings.connections_},
        {"state", state.draining_ ? "draining" : "ready"}};
    return body.dump();
}

} // namespace

announcer::announcer(asio::io_context& context, const upstream_state& state)
    : state_(state), timer_(context)
{
    asio::co_spawn(context, run(), asio::detached);
}

void announcer::announce_now()
{
    announce_requested_ = true;
    timer_.cancel();
}

asio::awaitable<void> announcer::run()
{
    const http_target node{state_.settings_.node_, {}, announce_interval};
    while (true)
    {
        announce_requested_ = false;
        auto request = make_request(
            boost::beast::http::verb::post, "/v1/announce",
            to_announcement(state_));
        co_await async_exchange(node, std::move(request));
        if (announce_requested_)
        {
            continue;
        }
        timer_.expires_after(announce_interval);
        boost::system::error_code cancelled;
        co_await timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

} // namespace hemlockshelf
