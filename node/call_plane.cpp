#include "node/call_plane.hpp"

#include <atomic>
#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapters/http/call_quota.hpp"
#include "adapters/http/call_threads.hpp"
#include "adapters/http/connection_pool.hpp"
#include "adapters/http/entry_session.hpp"
#include "adapters/http/gate_session.hpp"
#include "adapters/http/relay_listener.hpp"
#include "adapters/http/session_group.hpp"
#include "adapters/http/upstream_gate.hpp"
#include "hemlockshelf/config/row_codec.hpp"
#include "node/mesh_router.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds cut_timeout{2};

bool shed_is_not_run(const snapshot_store& snapshots, std::string_view pool)
{
    const auto snapshot = snapshots.current();
    const auto& pools = snapshot->tables().pools_;
    const auto found = pools.find(row_key{std::string(pool)});
    return found != pools.end() && found->second->shed_is_not_run_;
}

} // namespace

class call_plane::parts
{
public:
    parts(
        const node_settings& settings,
        const clock& time,
        const snapshot_store& snapshots,
        const member_table& members,
        const local_upstream& upstream,
        metric_sink& metrics,
        std::function<bool()> ready)
        : time_(time), snapshots_(snapshots),
          router_(
              members,
              settings.routing_,
              settings.retry_,
              {settings.failure_domain_, settings.region_},
              metrics),
          gates_(settings.call_path_), upstream_gate_(
                                           settings.call_path_,
                                           settings.gate_limits_,
                                           time,
                                           [&upstream]
                                           {
                                               return upstream.current();
                                           },
                                           metrics),
          entry_{
              settings.call_path_,
              settings.retry_,
              time,
              snapshots,
              router_,
              gates_,
              quota_,
              metrics,
              group_,
              settings.vm_,
              settings.source_address_,
              std::move(ready)},
          gate_{
              settings.call_path_,
              time,
              upstream_gate_,
              [&snapshots](std::string_view pool)
              {
                  return shed_is_not_run(snapshots, pool);
              },
              metrics,
              gate_group_,
              settings.source_address_},
          threads_(settings.call_path_.threads_),
          calls_listener_(
              threads_,
              settings.calls_,
              [this](http_connection::socket_type socket)
              {
                  return std::make_shared<entry_session>(
                      std::move(socket), entry_);
              }),
          gate_listener_(
              threads_,
              settings.gate_,
              [this](http_connection::socket_type socket)
              {
                  return std::make_shared<gate_session>(
                      std::move(socket), gate_);
              })
    {
        asio::co_spawn(threads_.first(), refresh(), asio::detached);
    }

    ~parts()
    {
        stop();
    }

    parts(const parts&) = delete;
    parts& operator=(const parts&) = delete;

    void start()
    {
        running_ = true;
        threads_.start();
    }

    bool drain(steady_time deadline)
    {
        group_.drain();
        return group_.wait_for_calls(deadline);
    }

    void close_listeners()
    {
        calls_listener_.close();
        gate_listener_.close();
    }

    bool finish(steady_time refuse_at, steady_time deadline)
    {
        close_listeners();
        upstream_gate_.begin_shutdown();
        gate_group_.drain();
        group_.close_idle();
        gate_group_.close_idle();
        if (group_.wait_for_sessions(refuse_at) &&
            gate_group_.wait_for_sessions(refuse_at))
        {
            return true;
        }
        // The gate first, so that its answers to the entries of this node come
        // before those entries are asked.
        gate_group_.refuse_unforwarded();
        group_.refuse_unforwarded();
        const bool callers_ended = group_.wait_for_sessions(deadline);
        return gate_group_.wait_for_sessions(deadline) && callers_ended;
    }

    void stop()
    {
        if (running_.exchange(false))
        {
            close_listeners();
            const auto limit = std::chrono::steady_clock::now() + cut_timeout;
            for (auto* group : {&group_, &gate_group_})
            {
                group->drain();
                group->close_all();
                group->wait_for_sessions(limit);
            }
        }
        threads_.stop();
        // The sockets must go before the loops to which they belong.
        gates_.close_all();
        upstream_gate_.close_idle();
    }

    result<nlohmann::json> explain(
        const client_account_id& account,
        std::string_view host,
        std::string_view path,
        std::string_view method)
    {
        const auto snapshot = snapshots_.current();
        const auto* route = snapshot->find_route(account, host, path);
        if (route == nullptr)
        {
            return make_error(
                snapshot->has_account(account) ? error_kind::no_route
                                               : error_kind::unknown_account,
                "no route of the account matches the host and the path");
        }
        auto json = router_.describe(*route, time_.now());
        const auto verb =
            boost::beast::http::string_to_verb({method.data(), method.size()});
        json["idempotent"] = is_repeatable(*route->route_, verb);
        json["revision"] = snapshot->number().value();
        json["route"] = {
            {"key", route->key_.value()}, {"row", to_json(*route->route_)}};
        json["pool"] = {
            {"key", route->pool_key_.value()}, {"row", to_json(*route->pool_)}};
        return json;
    }

private:
    asio::awaitable<void> refresh()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (true)
        {
            upstream_gate_.refresh();
            gates_.close_aged(time_.now());
            timer.expires_at(upstream_gate_.next_refresh());
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    const clock& time_;
    const snapshot_store& snapshots_;
    /// Connections of callers.
    session_group group_;
    /// Connections of other nodes, which stay open until the node ends.
    session_group gate_group_;
    mesh_router router_;
    call_quota quota_;
    connection_pool gates_;
    upstream_gate upstream_gate_;
    entry_environment entry_;
    gate_environment gate_;
    std::atomic<bool> running_ = false;
    call_threads threads_;
    relay_listener calls_listener_;
    relay_listener gate_listener_;
};

call_plane::call_plane(
    const node_settings& settings,
    const clock& time,
    const snapshot_store& snapshots,
    const member_table& members,
    const local_upstream& upstream,
    metric_sink& metrics,
    std::function<bool()> ready)
    : parts_(std::make_unique<parts>(
          settings,
          time,
          snapshots,
          members,
          upstream,
          metrics,
          std::move(ready)))
{}

call_plane::~call_plane() = default;

void call_plane::start()
{
    parts_->start();
}

bool call_plane::drain(steady_time deadline)
{
    return parts_->drain(deadline);
}

bool call_plane::finish(steady_time refuse_at, steady_time deadline)
{
    return parts_->finish(refuse_at, deadline);
}

void call_plane::stop()
{
    parts_->stop();
}

result<nlohmann::json> call_plane::explain(
    const client_account_id& account,
    std::string_view host,
    std::string_view path,
    std::string_view method)
{
    return parts_->explain(account, host, path, method);
}

} // namespace hemlockshelf
