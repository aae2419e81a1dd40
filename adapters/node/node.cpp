#include "adapters/node/node.hpp"

#include <atomic>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <spdlog/spdlog.h>

#include "adapters/http/call_server.hpp"
#include "adapters/http/entry_handler.hpp"
#include "adapters/http/gate_handler.hpp"
#include "adapters/http/json_server.hpp"
#include "adapters/node/admin_handler.hpp"
#include "adapters/platform/platform_client.hpp"
#include "hemlockshelf/core/real_clock.hpp"
#include "hemlockshelf/editing/config_reader.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;

namespace {

constexpr std::size_t call_threads = 2;
constexpr std::size_t admin_threads = 4;
constexpr std::chrono::milliseconds poll_interval{200};

} // namespace

class node::parts
{
public:
    explicit parts(node_settings settings)
        : settings_(std::move(settings)),
          platform_({settings_.platform_, settings_.source_address_}),
          upstream_(time_), editor_(
                                platform_,
                                time_,
                                settings_.vm_,
                                [this]
                                {
                                    return snapshots_.current();
                                },
                                [this](const change_record& record)
                                {
                                    apply(record.delta_);
                                }),
          entry_{
              &snapshots_,
              [this](const resolved_route& route)
              {
                  return choose_gate(route);
              },
              settings_.vm_, settings_.source_address_},
          gate_{[this]
                {
                    return upstream_.current();
                }},
          admin_{&settings_, &snapshots_, &platform_, &editor_, &upstream_},
          calls_server_(
              context_,
              settings_.calls_,
              [this](http_request request)
              {
                  return handle_call(entry_, std::move(request));
              }),
          gate_server_(
              context_,
              settings_.gate_,
              [this](http_request request)
              {
                  return handle_gate_call(gate_, std::move(request));
              }),
          admin_server_(
              context_,
              settings_.admin_,
              admin_threads,
              [this](const http_request& request, const std::string& peer)
              {
                  return handle_admin_request(admin_, request, peer);
              }),
          signals_(context_, SIGINT, SIGTERM)
    {}

    void run()
    {
        signals_.async_wait(
            [this](const auto&, int)
            {
                context_.stop();
            });
        std::thread poller(
            [this]
            {
                poll_platform();
            });
        std::vector<std::thread> threads;
        for (std::size_t index = 1; index < call_threads; ++index)
        {
            threads.emplace_back(
                [this]
                {
                    context_.run();
                });
        }
        context_.run();
        stopping_ = true;
        for (auto& thread : threads)
        {
            thread.join();
        }
        poller.join();
    }

private:
    void apply(const config_delta& delta)
    {
        const auto next = apply_delta(*snapshots_.current(), delta);
        if (next && snapshots_.advance(*next))
        {
            spdlog::info("revision {} is in force", delta.to_.value());
        }
    }

    void poll_platform()
    {
        while (!stopping_)
        {
            poll_once();
            std::this_thread::sleep_for(poll_interval);
        }
    }

    void poll_once()
    {
        const auto head = read_head(platform_);
        const auto held = snapshots_.current();
        if (!head || head->revision_ <= held->number())
        {
            return;
        }
        const auto next = catch_up(platform_, held, head->revision_);
        if (!next)
        {
            spdlog::warn("catching up failed: {}", next.error().message_);
            return;
        }
        if (snapshots_.advance(*next))
        {
            spdlog::info("revision {} is in force", head->revision_.value());
        }
    }

    std::optional<endpoint> choose_gate(const resolved_route& route)
    {
        const auto upstream = upstream_.current();
        if (!upstream || upstream->service_ != route.pool_->service_)
        {
            return std::nullopt;
        }
        return settings_.advertised_gate_;
    }

    node_settings settings_;
    real_clock time_;
    asio::io_context context_;
    platform_client platform_;
    snapshot_store snapshots_;
    own_upstream upstream_;
    editor editor_;
    entry_context entry_;
    gate_context gate_;
    admin_context admin_;
    call_server calls_server_;
    call_server gate_server_;
    json_server admin_server_;
    asio::signal_set signals_;
    std::atomic<bool> stopping_ = false;
};

node::node(node_settings settings)
    : parts_(std::make_unique<parts>(std::move(settings)))
{}

node::~node() = default;

void node::run()
{
    parts_->run();
}

} // namespace hemlockshelf
