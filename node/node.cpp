#include "node/node.hpp"

#include <chrono>
#include <functional>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "adapters/http/json_server.hpp"
#include "adapters/telemetry/event_log.hpp"
#include "adapters/telemetry/prometheus_metrics.hpp"
#include "hemlockshelf/core/real_clock.hpp"
#include "hemlockshelf/editing/blob_writer.hpp"
#include "hemlockshelf/editing/change_archive.hpp"
#include "node/admin_handler.hpp"
#include "node/control_plane.hpp"
#include "node/data_plane.hpp"
#include "node/readiness.hpp"
#include "node/shutdown_plan.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;

namespace {

constexpr std::size_t admin_threads = 4;

} // namespace

class node::impl
{
public:
    impl(
        node_settings settings,
        const platform_factory& platform,
        settings_watcher::reader reload)
        : settings_(std::move(settings)), platform_(platform(metrics_)),
          upstream_(time_, settings_.membership_.announcement_lifetime_),
          control_plane_(
              settings_,
              time_,
              polled_services{
                  *platform_.tables_, *platform_.objects_,
                  platform_.configurations_.get()},
              snapshots_,
              members_,
              upstream_,
              metrics_),
          data_plane_(
              settings_,
              time_,
              snapshots_,
              members_,
              upstream_,
              metrics_,
              [this]
              {
                  return control_plane_.may_route() &&
                         has_configuration(
                             platform_.configurations_ != nullptr,
                             snapshots_.current()->number());
              },
              [this]
              {
                  return control_plane_.accounts_confirmed();
              },
              control_plane_.account_quota()),
          editor_(make_editor_ports(), settings_.vm_, settings_.editing_),
          admin_{
              &settings_,
              &snapshots_,
              platform_.tables_.get(),
              platform_.objects_.get(),
              platform_.configurations_ == nullptr ? &editor_ : nullptr,
              &upstream_,
              &data_plane_,
              &metrics_,
              &members_,
              &control_plane_},
          admin_server_(
              context_,
              settings_.admin_,
              admin_threads,
              [this](const http_request& request, const std::string& peer)
              {
                  return handle_admin_request(admin_, request, peer);
              }),
          signals_(context_, SIGINT, SIGTERM),
          settings_watcher_(context_, settings_.file_, std::move(reload))
    {
        if (platform_.open_listener_)
        {
            listener_ = platform_.open_listener_(
                {context_, upstream_, snapshots_,
                 [this]
                 {
                     return accepts_callers();
                 },
                 [this](std::function<void()> done)
                 {
                     control_plane_.share_upstream(std::move(done));
                 },
                 [this](std::function<void()> done)
                 {
                     control_plane_.store_upstream(std::move(done));
                 }});
        }
    }

    void run()
    {
        signals_.async_wait(
            [this](const auto&, int)
            {
                shutdown_ = std::thread(
                    [this]
                    {
                        shut_down();
                    });
            });
        control_plane_.start();
        data_plane_.start();
        log_event<log_event_id::node_starting>(
            log_fields::incarnation(control_plane_.own_incarnation()));
        context_.run();
        shutdown_.join();
        data_plane_.stop();
        control_plane_.stop();
    }

private:
    editor_ports make_editor_ports()
    {
        editor_ports ports;
        ports.tables_ = platform_.tables_.get();
        ports.time_ = &time_;
        ports.metrics_ = &metrics_;
        ports.current_snapshot_ = [this]
        {
            return snapshots_.current();
        };
        ports.on_accepted_ = [this](const auto& record, const auto& snapshot)
        {
            control_plane_.apply_edit(record);
            blobs_.offer(snapshot);
        };
        return ports;
    }

    /// Archives the change rows that are past their retention. If this fails,
    /// it is retried after a later blob.
    void archive(revision snapshot)
    {
        const auto moved = archive_changes(
            *platform_.tables_, *platform_.objects_, snapshot, time_.wall_now(),
            settings_.editing_.change_retention_);
        if (!moved)
        {
            log_event<log_event_id::archiving_failed>(
                log_fields::revision(snapshot),
                log_fields::error_kind(moved.error().kind_),
                log_fields::detail(moved.error().message_));
        }
        else if (*moved > 0)
        {
            log_event<log_event_id::changes_archived>(
                log_fields::revision(snapshot), log_fields::changes(*moved));
        }
    }

    [[nodiscard]] bool accepts_callers() const
    {
        return control_plane_.state() == node_state::serving &&
               control_plane_.may_route() &&
               snapshots_.current()->number() > revision{0};
    }

    /// Keeps serving until the other nodes have learned of the drain and the
    /// calls in progress have ended, within the limits of the shutdown plan.
    void shut_down()
    {
        const auto plan = plan_shutdown(settings_.call_path_, time_.now());
        log_event<log_event_id::node_draining>(
            log_fields::revision(snapshots_.current()->number()),
            log_fields::members(members_.size()));
        control_plane_.drain();
        // Callers open new connections until they have learned of the drain, so
        // calls may be in progress until the deadline.
        data_plane_.drain(plan.withdraw_upstream_at_);
        if (upstream_.current())
        {
            std::this_thread::sleep_until(plan.withdraw_upstream_at_);
            control_plane_.withdraw_upstream();
            std::this_thread::sleep_until(plan.close_at_);
        }
        data_plane_.finish(plan.refuse_at_, plan.terminate_at_);
        log_event<log_event_id::node_stopped>(
            log_fields::revision(snapshots_.current()->number()));
        context_.stop();
    }

    node_settings settings_;
    real_clock time_;
    prometheus_metrics metrics_;
    asio::io_context context_;
    platform_services platform_;
    snapshot_store snapshots_;
    member_table members_;
    local_upstream upstream_;
    control_plane control_plane_;
    data_plane data_plane_;
    snapshot_blob_writer blobs_{
        *platform_.objects_, [this](revision written)
        {
            archive(written);
        }};
    editor editor_;
    admin_context admin_;
    json_server admin_server_;
    asio::signal_set signals_;
    settings_watcher settings_watcher_;
    std::unique_ptr<platform_listener> listener_;
    std::thread shutdown_;
};

node::node(
    node_settings settings,
    const platform_factory& platform,
    settings_watcher::reader reload)
    : impl_(std::make_unique<impl>(
          std::move(settings), platform, std::move(reload)))
{}

node::~node() = default;

void node::run()
{
    impl_->run();
}

} // namespace hemlockshelf
