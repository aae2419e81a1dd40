#include "node/control_plane.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <utility>
#include <vector>

#include "adapters/telemetry/event_log.hpp"
#include "node/config_keeper.hpp"
#include "node/contact_tracker.hpp"
#include "node/control_context.hpp"
#include "node/directory_agent.hpp"
#include "node/heartbeat_agent.hpp"
#include "node/join_agent.hpp"
#include "node/platform_contact.hpp"
#include "node/platform_poller.hpp"
#include "node/push_agent.hpp"
#include "node/push_intake.hpp"
#include "node/reader_duty.hpp"
#include "node/record_keeper.hpp"
#include "node/repair_agent.hpp"

namespace hemlockshelf {

namespace {

constexpr std::chrono::milliseconds tick_interval{100};
constexpr std::chrono::seconds housekeeping_interval{5};
// A joining node leaves it to peers for this long to send what it misses.
constexpr std::chrono::milliseconds join_grace{1000};
// Time for the last record to reach the first nodes of its tree.
constexpr std::chrono::milliseconds leave_notice_time{250};

rpc_settings make_rpc_settings(const node_settings& settings)
{
    rpc_settings rpc;
    rpc.self_ = {settings.vm_, settings.failure_domain_, settings.region_};
    rpc.listen_ = settings.control_;
    rpc.source_address_ = settings.source_address_;
    return rpc;
}

} // namespace

class control_plane::parts final : public control_handler
{
public:
    parts(
        const node_settings& settings,
        const clock& time,
        polled_services services,
        snapshot_store& snapshots,
        member_table& members,
        const local_upstream& upstream,
        metric_sink& metrics)
        : settings_(settings), time_(time), metrics_(metrics),
          keeper_(
              snapshots, time, metrics, settings.dissemination_.kept_deltas_),
          network_(make_rpc_settings(settings), *this, metrics),
          context_{settings,
                   time,
                   members,
                   keeper_,
                   metrics,
                   {settings.vm_, settings.failure_domain_, settings.region_},
                   network_,
                   settings.peers_},
          contacts_(context_), pushes_(context_, contacts_),
          records_(context_, pushes_, upstream),
          repairs_(context_, pushes_, records_, contacts_),
          intake_(context_, pushes_, repairs_),
          heartbeats_(context_, pushes_, repairs_, contacts_),
          joins_(
              context_,
              pushes_,
              repairs_,
              [this]
              {
                  directory_.look_up(
                      [this](const std::vector<directory_row>& rows)
                      {
                          joins_.add_contacts(contacts_of(rows));
                      });
              }),
          poller_(
              services,
              keeper_,
              settings.dissemination_.poll_interval_,
              [this](poll_report report)
              {
                  network_.post(
                      [this, held = std::move(report)]
                      {
                          on_polled(held);
                      });
              }),
          directory_(context_, poller_),
          published_(services.configurations_ != nullptr)
    {}

    void start()
    {
        running_ = true;
        network_.start();
        poller_.start();
        network_.post(
            [this]
            {
                lifecycle_.on_listening();
                begin_join();
                last_tick_ = time_.now();
                every(
                    tick_interval,
                    [this]
                    {
                        tick();
                    });
                every(
                    settings_.membership_.heartbeat_interval_,
                    [this]
                    {
                        heartbeats_.send_heartbeats();
                    });
                every(
                    housekeeping_interval,
                    [this]
                    {
                        keep_house();
                    });
            });
    }

    void drain()
    {
        network_.post(
            [this]
            {
                lifecycle_.drain();
                publish_state();
            });
    }

    void withdraw_upstream()
    {
        network_.post(
            [this]
            {
                records_.drain();
            });
    }

    void stop()
    {
        if (!std::exchange(running_, false))
        {
            return;
        }
        poller_.stop();
        auto sent = std::make_shared<std::promise<void>>();
        network_.post(
            [this, sent]
            {
                lifecycle_.drain();
                lifecycle_.leave();
                records_.leave();
                publish_state();
                network_.after(
                    leave_notice_time,
                    [sent]
                    {
                        sent->set_value();
                    });
            });
        sent->get_future().wait_for(2 * leave_notice_time);
        network_.stop();
    }

    void accept(const change_record& record)
    {
        const std::vector<accepted_delta> deltas{
            {record.delta_, record.audit_.at_}};
        const auto applied = keeper_.apply(deltas, apply_source::edit);
        if (!applied)
        {
            // This node was behind when it accepted the edit.
            poller_.poll_now();
        }
        network_.post(
            [this, deltas]
            {
                intake_.push_accepted(deltas);
            });
    }

    [[nodiscard]] node_state state() const
    {
        return state_;
    }

    [[nodiscard]] bool may_route() const
    {
        const node_state now = state_;
        const bool joined =
            now == node_state::serving || now == node_state::draining;
        return joined && time_.now() - last_tick_.load() <=
                             settings_.membership_.pause_threshold_;
    }

    [[nodiscard]] revision highest_known_revision() const
    {
        return std::max(revision{highest_known_}, keeper_.held());
    }

    [[nodiscard]] incarnation own_incarnation() const
    {
        const auto own = context_.members_.find(settings_.vm_);
        return own ? own->record_.incarnation_ : incarnation{};
    }

private:
    heartbeat_message on_heartbeat(const heartbeat_message& request) override
    {
        return heartbeats_.on_heartbeat(request);
    }

    revision on_push(push_message request) override
    {
        contacts_.note(request.sender_, true);
        if (!request.records_.empty())
        {
            records_.merge(request.records_);
        }
        if (!request.deltas_.empty())
        {
            intake_.take(request);
        }
        if (!request.deltas_.empty() || !request.records_.empty())
        {
            pushes_.forward(std::move(request));
        }
        return keeper_.held();
    }

    config_answer on_fetch(const fetch_request& request) override
    {
        contacts_.note(request.sender_, true);
        return repairs_.on_fetch(request);
    }

    digest_answer on_digest(const digest_request& request) override
    {
        contacts_.note(request.sender_, true);
        return repairs_.on_digest(request);
    }

    void on_probe(
        const probe_request& request, std::function<void(bool)> answer) override
    {
        heartbeats_.on_probe(request, std::move(answer));
    }

    void every(std::chrono::milliseconds interval, std::function<void()> task)
    {
        network_.after(
            interval,
            [this, interval, task = std::move(task)]
            {
                every(interval, task);
                task();
            });
    }

    void tick()
    {
        const auto now = time_.now();
        const auto pause = now - last_tick_.load();
        if (pause > settings_.membership_.pause_threshold_)
        {
            on_paused(pause);
        }
        records_.refresh();
        repairs_.tick();
        if (lifecycle_.state() == node_state::joining && joins_.tick())
        {
            finish_join();
        }
        follow_situation();
        highest_known_ = repairs_.highest_seen().value();
        // Last, so that calls wait until a pause has been dealt with.
        publish_state();
        last_tick_ = now;
    }

    void on_paused(std::chrono::nanoseconds pause)
    {
        log_event<log_event_id::process_paused>(log_fields::pause_ms(
            std::chrono::duration_cast<std::chrono::milliseconds>(pause)));
        heartbeats_.reset();
        contacts_.reset();
        lifecycle_.on_paused();
        if (lifecycle_.state() == node_state::joining)
        {
            begin_join();
        }
    }

    void begin_join()
    {
        publish_state();
        joins_.start();
        join_grace_until_ = time_.now() + join_grace;
        poller_.set_mode(poll_mode::head_only);
    }

    void finish_join()
    {
        lifecycle_.on_caught_up();
        publish_state();
        heartbeats_.reset();
        records_.note_platform(platform_contact_.lost_);
        records_.announce();
        repairs_.hasten();
        choose_poll_mode();
        log_event<log_event_id::node_serving>(
            log_fields::revision(keeper_.held()),
            log_fields::members(context_.members_.size()));
    }

    void publish_state()
    {
        state_ = lifecycle_.state();
    }

    void on_polled(const poll_report& report)
    {
        if (report.answered_ != platform_answers_)
        {
            platform_answers_ = report.answered_;
            log_platform();
        }
        note_poll(platform_contact_, report.answered_, time_.now());
        if (lifecycle_.state() != node_state::joining)
        {
            records_.note_platform(platform_contact_.lost_);
        }
        if (!report.answered_)
        {
            return;
        }
        repairs_.note_revision(report.head_);
        if (lifecycle_.state() == node_state::joining)
        {
            joins_.note_platform(report.head_);
            // Peers send what was missed at once; the platform's change rows
            // are read one page after the other.
            const bool peers_first =
                joins_.has_contacts() && time_.now() < join_grace_until_;
            if (!peers_first && keeper_.held() < report.head_)
            {
                poller_.poll_now();
            }
            return;
        }
        if (report.deltas_.empty())
        {
            return;
        }
        if (published_)
        {
            intake_.push_published(report.deltas_);
        }
        else
        {
            intake_.push_polled(report.deltas_);
        }
    }

    void log_platform() const
    {
        if (platform_answers_)
        {
            log_event<log_event_id::platform_regained>(
                log_fields::revision(keeper_.held()));
            return;
        }
        log_event<log_event_id::platform_lost>(
            log_fields::revision(keeper_.held()));
    }

    void keep_house()
    {
        context_.members_.remove_expired(time_.now(), settings_.membership_);
        choose_poll_mode();
        report_members();
        if (lifecycle_.state() == node_state::serving)
        {
            directory_.maintain(
                [this](const std::vector<directory_row>& rows)
                {
                    repairs_.meet(contacts_of(rows));
                });
        }
    }

    /// Takes over the directory's addresses. Those of the settings stay.
    std::vector<endpoint> contacts_of(const std::vector<directory_row>& rows)
    {
        std::vector<endpoint> contacts;
        contacts.reserve(rows.size());
        for (const auto& row : rows)
        {
            contacts.push_back(row.control_);
        }
        context_.contacts_ = settings_.peers_;
        context_.contacts_.insert(
            context_.contacts_.end(), contacts.begin(), contacts.end());
        return contacts;
    }

    void choose_poll_mode()
    {
        if (lifecycle_.state() == node_state::joining)
        {
            return;
        }
        poller_.set_mode(hemlockshelf::choose_poll_mode(situation()));
    }

    [[nodiscard]] reader_situation situation() const
    {
        return {
            reader_place(
                context_, settings_.dissemination_.readers_per_domain_),
            platform_contact_.lost_, silence()};
    }

    /// Returns the time since the last contact with another node.
    [[nodiscard]] std::chrono::nanoseconds silence() const
    {
        return time_.now() - heartbeats_.last_contact();
    }

    /// Chooses again as soon as a record of the failure domain has changed or
    /// other nodes fall silent.
    void follow_situation()
    {
        auto members =
            context_.members_.members_in_domain(context_.self_.failure_domain_);
        const bool isolated = is_isolated(silence());
        if (members != domain_members_ || isolated != isolated_)
        {
            domain_members_ = std::move(members);
            isolated_ = isolated;
            choose_poll_mode();
        }
    }

    void report_members()
    {
        const auto counts = context_.members_.count_by_liveness();
        for (std::size_t index = 0; index < counts.size(); ++index)
        {
            metrics_.set(
                metric_id::members, to_string(static_cast<liveness>(index)),
                static_cast<double>(counts.at(index)));
        }
    }

    const node_settings& settings_;
    const clock& time_;
    metric_sink& metrics_;
    config_keeper keeper_;
    control_network network_;
    control_context context_;
    contact_tracker contacts_;
    push_agent pushes_;
    record_keeper records_;
    repair_agent repairs_;
    push_intake intake_;
    heartbeat_agent heartbeats_;
    join_agent joins_;
    platform_poller poller_;
    directory_agent directory_;
    node_lifecycle lifecycle_;
    std::atomic<node_state> state_ = node_state::starting;
    std::atomic<std::uint64_t> highest_known_ = 0;
    /// Written by the control thread, read by call threads as well.
    std::atomic<steady_time> last_tick_;
    steady_time join_grace_until_;
    bool running_ = false;
    /// Outcome of the last poll.
    bool platform_answers_ = true;
    platform_contact platform_contact_;
    /// Whether operators publish whole configurations on the platform.
    bool published_ = false;
    std::shared_ptr<const member_table::entry_pointers> domain_members_;
    bool isolated_ = false;
};

control_plane::control_plane(
    const node_settings& settings,
    const clock& time,
    polled_services services,
    snapshot_store& snapshots,
    member_table& members,
    const local_upstream& upstream,
    metric_sink& metrics)
    : parts_(std::make_unique<parts>(
          settings, time, services, snapshots, members, upstream, metrics))
{}

control_plane::~control_plane() = default;

void control_plane::start()
{
    parts_->start();
}

void control_plane::drain()
{
    parts_->drain();
}

void control_plane::withdraw_upstream()
{
    parts_->withdraw_upstream();
}

void control_plane::stop()
{
    parts_->stop();
}

void control_plane::accept(const change_record& record)
{
    parts_->accept(record);
}

bool control_plane::may_route() const
{
    return parts_->may_route();
}

node_state control_plane::state() const
{
    return parts_->state();
}

revision control_plane::highest_known_revision() const
{
    return parts_->highest_known_revision();
}

incarnation control_plane::own_incarnation() const
{
    return parts_->own_incarnation();
}

} // namespace hemlockshelf
