#include "standins/upstream/upstream_server.hpp"

#include <chrono>
#include <functional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapters/http/tcp_endpoint.hpp"
#include "standins/upstream/upstream_connection.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds idle_check_interval{20};

upstream_state make_state(const upstream_settings& settings)
{
    upstream_state state{settings};
    state.started_at_ = std::chrono::steady_clock::now();
    // The seed depends on the address only: stand-ins draw different service
    // times, and each draws the same ones in every run.
    state.random_.seed(std::hash<std::string>{}(to_string(settings.listen_)));
    return state;
}

} // namespace

upstream_server::upstream_server(
    asio::io_context& context, const upstream_settings& settings)
    : context_(context), state_(make_state(settings)),
      logs_{
          execution_log(settings.execution_log_),
          outcome_log(settings.outcome_log_)},
      acceptor_(context, to_tcp(settings.listen_)), announcer_(context, state_)
{
    asio::co_spawn(context_, accept_loop(), asio::detached);
}

void upstream_server::drain(bool stop)
{
    state_.draining_ = true;
    announcer_.announce_now();
    if (stop)
    {
        asio::co_spawn(context_, stop_when_idle(), asio::detached);
    }
}

void upstream_server::resume()
{
    state_.draining_ = false;
    announcer_.announce_now();
}

asio::awaitable<void> upstream_server::accept_loop()
{
    while (acceptor_.is_open())
    {
        boost::system::error_code failure;
        tcp::socket socket(context_);
        co_await acceptor_.async_accept(
            socket, asio::redirect_error(asio::use_awaitable, failure));
        if (!failure && try_acquire_connection_slot(state_))
        {
            asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
        }
    }
}

asio::awaitable<void> upstream_server::serve(tcp::socket socket)
{
    upstream_connection connection(std::move(socket), state_, logs_);
    co_await connection.run();
}

asio::awaitable<void> upstream_server::stop_when_idle()
{
    const auto& settings = state_.settings_;
    const auto started_at = std::chrono::steady_clock::now();
    asio::steady_timer timer(context_, settings.drain_linger_);
    co_await timer.async_wait(asio::use_awaitable);
    while (state_.running_ > 0 &&
           std::chrono::steady_clock::now() - started_at <
               settings.drain_limit_)
    {
        timer.expires_after(idle_check_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    context_.stop();
}

} // namespace hemlockshelf
