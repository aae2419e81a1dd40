#include "experiment/revision_watcher.hpp"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "adapters/http/http_client.hpp"
#include "adapters/http/tcp_endpoint.hpp"
#include "experiment/wait.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds status_timeout{2};
constexpr std::chrono::milliseconds reconnect_pause{100};

} // namespace

revision_watcher::revision_watcher(
    const cluster& mesh, std::chrono::milliseconds interval)
    : mesh_(mesh), interval_(interval)
{}

revision_watcher::~revision_watcher()
{
    stop();
}

void revision_watcher::start()
{
    for (std::size_t index = 0; index < mesh_.size(); ++index)
    {
        asio::co_spawn(context_, watch(index), asio::detached);
    }
    thread_ = std::thread(
        [this]
        {
            context_.run();
        });
}

std::vector<revision_report> revision_watcher::stop()
{
    stopping_ = true;
    if (thread_.joinable())
    {
        thread_.join();
    }
    return std::move(reports_);
}

std::optional<event_time>
revision_watcher::reached_at(const vm_id& vm, revision number)
{
    const std::lock_guard lock(mutex_);
    for (const auto& report : reports_)
    {
        if (report.vm_ == vm && report.revision_ >= number)
        {
            return report.at_;
        }
    }
    return std::nullopt;
}

asio::awaitable<void> revision_watcher::watch(std::size_t index)
{
    asio::steady_timer timer(context_);
    std::uint64_t connections = 0;
    while (!stopping_)
    {
        ++connections;
        co_await watch_connection(index, connections);
        timer.expires_after(reconnect_pause);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void>
revision_watcher::watch_connection(std::size_t index, std::uint64_t connection)
{
    const auto& place = mesh_.place(index);
    const vm_id vm{place.vm_};
    beast::tcp_stream stream(context_);
    asio::steady_timer timer(context_);
    boost::system::error_code failure;
    const auto server = to_tcp(place.admin_);
    stream.expires_after(status_timeout);
    co_await stream.async_connect(
        server, asio::redirect_error(asio::use_awaitable, failure));
    beast::flat_buffer buffer;
    while (!failure && !stopping_)
    {
        auto request = make_request(http::verb::get, "/v1/status");
        stream.expires_after(status_timeout);
        co_await http::async_write(
            stream, request,
            asio::redirect_error(asio::use_awaitable, failure));
        http_response response;
        if (!failure)
        {
            co_await http::async_read(
                stream, buffer, response,
                asio::redirect_error(asio::use_awaitable, failure));
        }
        if (!failure)
        {
            record(
                vm, connection,
                nlohmann::json::parse(response.body(), nullptr, false));
        }
        timer.expires_after(interval_);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void revision_watcher::record(
    const vm_id& vm, std::uint64_t connection, const nlohmann::json& status)
{
    if (!status.is_object() || !status.contains("revision"))
    {
        return;
    }
    const revision_report report{
        vm, status.value("incarnation", connection),
        revision{status.at("revision").get<std::uint64_t>()}, event_now()};
    const std::lock_guard lock(mutex_);
    const auto last = last_.find(vm);
    if (last != last_.end() && last->second.revision_ == report.revision_ &&
        last->second.process_ == report.process_)
    {
        return;
    }
    last_[vm] = report;
    reports_.push_back(report);
}

} // namespace hemlockshelf
