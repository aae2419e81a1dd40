#include "adapters/node/call_plane.hpp"

#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "adapters/http/call_server.hpp"
#include "adapters/http/entry_handler.hpp"
#include "adapters/http/gate_handler.hpp"
#include "hemlockshelf/config/row_codec.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;

namespace {

constexpr std::size_t call_threads = 2;

} // namespace

class call_plane::parts
{
public:
    parts(
        const node_settings& settings,
        const snapshot_store& snapshots,
        const member_table& members,
        const own_upstream& upstream)
        : members_(members),
          entry_{
              &snapshots,
              [this](const resolved_route& route)
              {
                  return choose_gate(route);
              },
              settings.vm_, settings.source_address_},
          gate_{[&upstream]
                {
                    return upstream.current();
                }},
          calls_server_(
              context_,
              settings.calls_,
              [this](http_request request)
              {
                  return handle_call(entry_, std::move(request));
              }),
          gate_server_(
              context_,
              settings.gate_,
              [this](http_request request)
              {
                  return handle_gate_call(gate_, std::move(request));
              })
    {}

    void start()
    {
        for (std::size_t index = 0; index < call_threads; ++index)
        {
            threads_.emplace_back(
                [this]
                {
                    context_.run();
                });
        }
    }

    void stop()
    {
        context_.stop();
        for (auto& thread : threads_)
        {
            thread.join();
        }
        threads_.clear();
    }

private:
    std::optional<endpoint> choose_gate(const resolved_route& route)
    {
        const auto members = members_.members_of(
            {account_of(route.pool_key_), route.pool_->service_});
        for (const auto& member : *members)
        {
            const auto gate = parse_endpoint(member.record_.gate_address_);
            if (gate)
            {
                return *gate;
            }
        }
        return std::nullopt;
    }

    const member_table& members_;
    asio::io_context context_;
    entry_context entry_;
    gate_context gate_;
    call_server calls_server_;
    call_server gate_server_;
    std::vector<std::thread> threads_;
};

call_plane::call_plane(
    const node_settings& settings,
    const clock& /*time*/,
    const snapshot_store& snapshots,
    const member_table& members,
    const own_upstream& upstream)
    : parts_(std::make_unique<parts>(settings, snapshots, members, upstream))
{}

call_plane::~call_plane()
{
    stop();
}

void call_plane::start()
{
    parts_->start();
}

void call_plane::stop()
{
    parts_->stop();
}

} // namespace hemlockshelf
