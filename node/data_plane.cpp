#include "node/data_plane.hpp"

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

constexpr std::chrono::seconds termination_timeout{2};

bool shed_is_not_run(const snapshot_store& snapshots, std::string_view pool)
{
    const auto snapshot = snapshots.current();
    const auto& pools = snapshot->tables().pools_;
    const auto found = pools.find(row_key{std::string(pool)});
    return found != pools.end() && found->second->shed_is_not_run_;
}

} // namespace

class data_plane::impl
{
public:
    impl(
        const node_settings& settings,
        const clock& time,
        const snapshot_store& snapshots,
        const member_table& members,
        const local_upstream& upstream,
        metric_sink& metrics,
        std::function<bool()> ready,
        std::function<bool()> accounts_confirmed,
        request_quota& account_quota)
        : time_(time), snapshots_(snapshots),
          router_(
              members,
              settings.routing_,
              settings.retry_,
              {settings.failure_domain_, settings.region_},
              metrics),
          gate_connections_(settings.call_path_),
          upstream_gate_(
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
              gate_connections_,
              quota_,
              metrics,
              caller_sessions_,
              settings.vm_,
              settings.source_address_,
              std::move(ready),
              std::move(accounts_confirmed),
              &account_quota},
          gate_{
              settings.call_path_,
              time,
              upstream_gate_,
              [&snapshots](std::string_view pool)
              {
                  return shed_is_not_run(snapshots, pool);
              },
              metrics,
              gate_sessions_,
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

    ~impl()
    {
        stop();
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void start()
    {
        running_ = true;
        threads_.start();
    }

    bool drain(steady_time deadline)
    {
        caller_sessions_.drain();
        return caller_sessions_.wait_for_calls(deadline);
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
        gate_sessions_.drain();
        caller_sessions_.set_end(refuse_at);
        caller_sessions_.close_idle();
        gate_sessions_.set_end(refuse_at);
        gate_sessions_.close_idle();
        if (caller_sessions_.wait_for_sessions(refuse_at) &&
            gate_sessions_.wait_for_sessions(refuse_at))
        {
            return true;
        }
        // Refuse at the gate first, so that this node's entry receives the
        // responses of the gate before its own requests are refused.
        gate_sessions_.refuse_unforwarded();
        caller_sessions_.refuse_unforwarded();
        const bool callers_ended = caller_sessions_.wait_for_sessions(deadline);
        return gate_sessions_.wait_for_sessions(deadline) && callers_ended;
    }

    void stop()
    {
        if (running_.exchange(false))
        {
            close_listeners();
            const auto limit =
                std::chrono::steady_clock::now() + termination_timeout;
            for (auto* group : {&caller_sessions_, &gate_sessions_})
            {
                group->drain();
                group->close_all();
                group->wait_for_sessions(limit);
            }
        }
        threads_.stop();
        // The sockets must be destroyed before the event loops that they belong
        // to.
        gate_connections_.close_all();
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
            gate_connections_.close_aged(time_.now());
            timer.expires_at(upstream_gate_.next_refresh());
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    const clock& time_;
    const snapshot_store& snapshots_;
    /// Connections of callers.
    session_group caller_sessions_;
    /// Connections of other nodes, which stay open until the node shuts down.
    session_group gate_sessions_;
    mesh_router router_;
    call_quota quota_;
    connection_pool gate_connections_;
    upstream_gate upstream_gate_;
    entry_environment entry_;
    gate_environment gate_;
    std::atomic<bool> running_ = false;
    call_threads threads_;
    relay_listener calls_listener_;
    relay_listener gate_listener_;
};

data_plane::data_plane(
    const node_settings& settings,
    const clock& time,
    const snapshot_store& snapshots,
    const member_table& members,
    const local_upstream& upstream,
    metric_sink& metrics,
    std::function<bool()> ready,
    std::function<bool()> accounts_confirmed,
    request_quota& account_quota)
    : impl_(std::make_unique<impl>(
          settings,
          time,
          snapshots,
          members,
          upstream,
          metrics,
          std::move(ready),
          std::move(accounts_confirmed),
          account_quota))
{}

data_plane::~data_plane() = default;

void data_plane::start()
{
    impl_->start();
}

bool data_plane::drain(steady_time deadline)
{
    return impl_->drain(deadline);
}

bool data_plane::finish(steady_time refuse_at, steady_time deadline)
{
    return impl_->finish(refuse_at, deadline);
}

void data_plane::stop()
{
    impl_->stop();
}

result<nlohmann::json> data_plane::explain(
    const client_account_id& account,
    std::string_view host,
    std::string_view path,
    std::string_view method)
{
    return impl_->explain(account, host, path, method);
}

} // namespace hemlockshelf
