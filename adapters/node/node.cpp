#include "adapters/node/node.hpp"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "adapters/http/json_server.hpp"
#include "adapters/node/admin_handler.hpp"
#include "adapters/node/call_plane.hpp"
#include "adapters/node/control_plane.hpp"
#include "adapters/platform/platform_client.hpp"
#include "adapters/telemetry/prometheus_metrics.hpp"
#include "hemlockshelf/core/real_clock.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;

namespace {

constexpr std::size_t admin_threads = 4;

} // namespace

class node::parts
{
public:
    explicit parts(node_settings settings)
        : settings_(std::move(settings)),
          platform_({settings_.platform_, settings_.source_address_}),
          upstream_(time_),
          control_(
              settings_, time_, platform_, snapshots_, members_, upstream_),
          calls_(settings_, time_, snapshots_, members_, upstream_),
          editor_(
              platform_,
              time_,
              settings_.vm_,
              [this]
              {
                  return snapshots_.current();
              },
              [this](const change_record& record)
              {
                  control_.accept(record);
              }),
          admin_{&settings_, &snapshots_, &platform_,
                 &editor_,   &upstream_,  &metrics_},
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
        control_.start();
        calls_.start();
        context_.run();
        calls_.stop();
        control_.stop();
    }

private:
    node_settings settings_;
    real_clock time_;
    prometheus_metrics metrics_;
    asio::io_context context_;
    platform_client platform_;
    snapshot_store snapshots_;
    member_table members_;
    own_upstream upstream_;
    control_plane control_;
    call_plane calls_;
    editor editor_;
    admin_context admin_;
    json_server admin_server_;
    asio::signal_set signals_;
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
