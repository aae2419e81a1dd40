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
#include "node/config_manager.hpp"
#include "node/confirmation_agent.hpp"
#include "node/contact_tracker.hpp"
#include "node/control_context.hpp"
#include "node/departure_agent.hpp"
#include "node/directory_agent.hpp"
#include "node/heartbeat_agent.hpp"
#include "node/join_agent.hpp"
#include "node/membership_agent.hpp"
#include "node/platform_contact.hpp"
#include "node/platform_poller.hpp"
#include "node/poll_policy.hpp"
#include "node/publication_readers.hpp"
#include "node/push_agent.hpp"
#include "node/push_coordinator.hpp"
#include "node/quota_agent.hpp"
#include "node/reader_watch.hpp"
#include "node/repair_agent.hpp"

namespace hemlockshelf {

namespace {

constexpr std::chrono::milliseconds tick_interval{100};
constexpr std::chrono::seconds housekeeping_interval{5};
constexpr std::chrono::seconds delay_report_interval{1};
// How long a joining node waits for peers to send missing revisions before it
// reads them from the platform.
constexpr std::chrono::milliseconds join_grace{1000};
// Longest delay of an announcement on its way to the node. One that arrives
// later after the start of the process was sent after it.
constexpr std::chrono::seconds max_announcement_delay{10};
// Time over which the nodes of a deployment write their departures again.
constexpr std::chrono::milliseconds departures_spread{1000};
// Time for the last record to reach the first nodes of its push tree.
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

class control_plane::impl final : public control_handler
{
public:
    impl(
        const node_settings& settings,
        const clock& time,
        polled_services services,
        snapshot_store& snapshots,
        member_table& members,
        local_upstream& upstream,
        metric_sink& metrics)
        : settings_(settings), time_(time), metrics_(metrics),
          config_(
              snapshots, time, metrics, settings.dissemination_.kept_deltas_),
          network_(make_rpc_settings(settings), *this, metrics),
          context_{settings,
                   time,
                   members,
                   config_,
                   metrics,
                   {settings.vm_, settings.failure_domain_, settings.region_},
                   network_,
                   settings.peers_},
          contacts_(context_), pushes_(context_, contacts_),
          records_(context_, pushes_, upstream),
          repairs_(context_, pushes_, records_, contacts_),
          push_coordinator_(context_, pushes_, repairs_),
          heartbeats_(context_, pushes_, repairs_, contacts_),
          joins_(
              context_,
              pushes_,
              repairs_,
              [this]
              {
                  directory_.register_and_read(
                      [this](const std::vector<directory_row>& rows)
                      {
                          joins_.add_contacts(contacts_of(rows));
                      });
              },
              [this](const acknowledged_upstream& acknowledged)
              {
                  on_acknowledged(acknowledged);
              }),
          poller_(
              services,
              config_,
              settings.dissemination_.poll_interval_,
              time,
              [this](poll_report report)
              {
                  network_.post(
                      [this, polled = std::move(report)]
                      {
                          on_polled(polled);
                      });
              }),
          upstream_(upstream), departures_(
                                   services.tables_,
                                   settings.vm_,
                                   upstream,
                                   [this](bool loaded)
                                   {
                                       network_.post(
                                           [this, loaded]
                                           {
                                               on_departures_read(loaded);
                                           });
                                   }),
          directory_(
              context_,
              poller_,
              [this](std::chrono::microseconds elapsed)
              {
                  records_.record_platform_round_trip(elapsed);
              },
              [this](const result<void>& none)
              {
                  on_registered(none);
              }),
          readers_(context_),
          reader_watch_(
              context_,
              readers_,
              pushes_,
              repairs_,
              [this](const heartbeat_message& answer, boot_time asked_at)
              {
                  confirmations_.record_answer(answer, asked_at);
              }),
          account_lease_(settings.accounts_),
          confirmations_(
              context_,
              readers_,
              repairs_,
              {account_lease_, configuration_lease_},
              [this]
              {
                  poller_.poll_now();
              }),
          quotas_(context_),
          uses_published_config_(services.configurations_ != nullptr)
    {
        upstream_.wait_for_earlier_state();
    }

    void start()
    {
        running_ = true;
        started_at_ = time_.now();
        incarnation_ = records_.own_incarnation();
        network_.start();
        poller_.start();
        network_.post(
            [this]
            {
                lifecycle_.on_listening();
                begin_join();
                last_tick_ = time_.now();
                run_periodically(
                    tick_interval,
                    [this]
                    {
                        tick();
                    });
                run_periodically(
                    settings_.membership_.heartbeat_interval_,
                    [this]
                    {
                        heartbeats_.send_heartbeats();
                        if (uses_published_config_ &&
                            lifecycle_.state() != node_state::joining)
                        {
                            reader_watch_.tick();
                        }
                    });
                run_periodically(
                    housekeeping_interval,
                    [this]
                    {
                        run_housekeeping();
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

    void share_upstream(std::function<void()> done)
    {
        network_.post(
            [this, done = std::move(done)]
            {
                records_.share_upstream(done);
            });
    }

    void store_upstream(std::function<void()> done)
    {
        departures_.save(std::move(done));
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
                // Before the notice, which ends the loans of the others.
                quotas_.stop();
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
        // Waits for a call in progress, which must not delay the notice.
        departures_.stop();
        network_.stop();
    }

    void apply_edit(const change_record& record)
    {
        const std::vector<accepted_delta> deltas{
            {record.delta_, record.audit_.at_}};
        const auto applied = config_.apply(deltas, apply_source::edit);
        if (!applied)
        {
            // This node was behind when it accepted the edit; read what is
            // missing.
            poller_.poll_now();
        }
        network_.post(
            [this, deltas]
            {
                push_coordinator_.push_accepted(deltas);
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
        const auto since_tick = time_.now() - last_tick_.load();
        return joined && since_tick <= settings_.membership_.pause_threshold_ &&
               (!uses_published_config_ ||
                configuration_lease_.is_valid(
                    time_.boot_now(), since_tick - tick_interval));
    }

    [[nodiscard]] bool accounts_confirmed() const
    {
        return account_lease_.is_valid(time_.boot_now());
    }

    [[nodiscard]] request_quota& account_quota()
    {
        return quotas_;
    }

    [[nodiscard]] revision highest_known_revision() const
    {
        return std::max(revision{highest_known_}, config_.current_revision());
    }

    [[nodiscard]] incarnation own_incarnation() const
    {
        const auto own = context_.members_.find(settings_.vm_);
        return own ? own->record_.incarnation_ : incarnation{};
    }

private:
    heartbeat_message on_heartbeat(const heartbeat_message& request) override
    {
        record_platform_era(context_, request.platform_era_);
        auto answer = heartbeats_.on_heartbeat(request);
        answer.confirmation_age_ = confirmations_.age();
        return answer;
    }

    revision on_push(push_message request) override
    {
        contacts_.record_contact(request.sender_, true);
        if (!request.records_.empty())
        {
            records_.merge(request.records_);
        }
        if (!request.deltas_.empty())
        {
            // Applied after the answer: a large delta takes a loaded machine
            // longer than the sender waits, and it would push to others again.
            network_.after(
                std::chrono::milliseconds{0},
                [this, received = std::move(request)]
                {
                    apply_push(received);
                });
        }
        else if (!request.records_.empty())
        {
            pushes_.forward(std::move(request));
        }
        return config_.current_revision();
    }

    void apply_push(const push_message& received)
    {
        push_coordinator_.apply_push(
            received,
            [this, received]
            {
                pushes_.forward(received);
            });
    }

    grant_answer on_grant(const grant_request& request) override
    {
        return quotas_.on_grant(request);
    }

    bool on_lend_share(const message_sender& sender) override
    {
        return quotas_.on_lend_share(sender);
    }

    config_answer on_fetch(const fetch_request& request) override
    {
        contacts_.record_contact(request.sender_, true);
        return repairs_.on_fetch(request);
    }

    digest_answer on_digest(const digest_request& request) override
    {
        contacts_.record_contact(request.sender_, true);
        return repairs_.on_digest(request);
    }

    void on_probe(
        const probe_request& request, std::function<void(bool)> answer) override
    {
        heartbeats_.on_probe(request, std::move(answer));
    }

    void run_periodically(
        std::chrono::milliseconds interval, std::function<void()> task)
    {
        network_.after(
            interval,
            [this, interval, due = time_.now() + interval,
             task = std::move(task)]
            {
                record_delay(due);
                run_periodically(interval, task);
                task();
            });
    }

    void record_delay(steady_time due)
    {
        const auto now = time_.now();
        record_task(context_.loop_delay_, due, now);
        const auto delay = now - due;
        metrics_.observe(
            metric_id::control_loop_delay, {},
            std::chrono::duration<double>(delay).count());
        if (delay > long_loop_delay && now >= next_delay_report_)
        {
            next_delay_report_ = now + delay_report_interval;
            log_event<log_event_id::control_loop_delayed>(
                log_fields::loop_delay_ms(
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        delay)));
        }
    }

    void tick()
    {
        const auto now = time_.now();
        const auto pause = now - last_tick_.load();
        if (pause > settings_.membership_.pause_threshold_)
        {
            on_paused(pause);
        }
        if (now - started_at_ >= max_announcement_delay)
        {
            use_upstream();
        }
        records_.refresh();
        if (incarnation_ != records_.own_incarnation())
        {
            // Members that held this one to be gone may have removed its row.
            incarnation_ = records_.own_incarnation();
            departures_.reload();
        }
        repairs_.tick();
        if (lifecycle_.state() == node_state::joining)
        {
            poll_if_needed();
            if (joins_.tick())
            {
                finish_join();
            }
        }
        if (lifecycle_.state() != node_state::joining && uses_published_config_)
        {
            reader_watch_.find_configuration();
            confirmations_.tick();
            quotas_.tick();
        }
        if (!directory_.asks_for_departures() &&
            !std::exchange(loads_departures_, true))
        {
            // The node has contacts and does not need the directory.
            departures_.load();
        }
        restore_departures();
        update_poll_mode();
        highest_known_ = repairs_.highest_seen().value();
        // This comes last, so that no calls are routed until a pause has been
        // handled.
        publish_state();
        last_tick_ = now;
    }

    void on_paused(std::chrono::nanoseconds pause)
    {
        log_event<log_event_id::process_paused>(log_fields::pause_ms(
            std::chrono::duration_cast<std::chrono::milliseconds>(pause)));
        heartbeats_.reset();
        contacts_.reset();
        quotas_.reset();
        lifecycle_.on_paused();
        if (lifecycle_.state() == node_state::joining)
        {
            begin_join();
        }
    }

    void begin_join()
    {
        configuration_lease_.require_confirmation();
        publish_state();
        join_deltas_.clear();
        join_grace_until_ = time_.now() + join_grace;
        polls_while_joining_ = !uses_published_config_;
        joins_.start(polls_while_joining_);
        poller_.set_mode(
            polls_while_joining_ ? poll_mode::head_only : poll_mode::off);
    }

    /// Lets a joining node read the published configuration itself if it is to
    /// be a reader or no peer has answered. The others get it from peers: when
    /// a whole deployment restarts, one document for each node fills the link
    /// between regions for seconds.
    void poll_if_needed()
    {
        if (polls_while_joining_)
        {
            return;
        }
        readers_.update();
        const bool is_reader = joins_.knows_members() && readers_.own_rank();
        const bool has_no_peers =
            joins_.is_alone() ||
            (!joins_.knows_members() && time_.now() >= join_grace_until_);
        if (is_reader || has_no_peers)
        {
            polls_while_joining_ = true;
            joins_.require_platform();
            poller_.set_mode(poll_mode::head_only);
        }
    }

    void finish_join()
    {
        lifecycle_.on_caught_up();
        publish_state();
        heartbeats_.reset();
        records_.set_platform_lost(platform_contact_.lost_);
        records_.on_joined();
        records_.announce();
        readers_.update();
        repairs_.shorten_intervals();
        choose_poll_mode();
        if (!join_deltas_.empty())
        {
            push_coordinator_.push_published(
                std::exchange(join_deltas_, {}), readers_.own_rank());
        }
        log_event<log_event_id::node_serving>(
            log_fields::revision(config_.current_revision()),
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
            log_platform_state();
        }
        record_poll(platform_contact_, report.answered_, time_.now());
        if (lifecycle_.state() != node_state::joining)
        {
            records_.set_platform_lost(platform_contact_.lost_);
        }
        if (!report.answered_)
        {
            return;
        }
        record_platform_era(context_, report.era_);
        confirmations_.set_platform_behind(report.platform_is_behind_);
        if (report.confirmed_at_)
        {
            confirmations_.record(report.head_, *report.confirmed_at_);
        }
        const bool is_newest = report.head_ > repairs_.highest_seen();
        repairs_.record_revision(report.head_);
        if (lifecycle_.state() == node_state::joining)
        {
            joins_.record_platform_head(report.head_);
            if (is_newest && !report.deltas_.empty())
            {
                join_deltas_ = report.deltas_;
            }
            // Peers send all missing revisions at once; the platform's change
            // rows are read page by page.
            const bool peers_first =
                joins_.has_contacts() && time_.now() < join_grace_until_;
            if (!peers_first && config_.current_revision() < report.head_)
            {
                poller_.poll_now();
            }
            return;
        }
        if (report.deltas_.empty())
        {
            return;
        }
        if (uses_published_config_)
        {
            push_coordinator_.push_published(
                report.deltas_, readers_.own_rank());
        }
        else
        {
            push_coordinator_.push_polled(report.deltas_);
        }
    }

    void log_platform_state() const
    {
        if (platform_answers_)
        {
            log_event<log_event_id::platform_regained>(
                log_fields::revision(config_.current_revision()));
            return;
        }
        log_event<log_event_id::platform_lost>(
            log_fields::revision(config_.current_revision()));
    }

    void on_acknowledged(const acknowledged_upstream& acknowledged)
    {
        upstream_.restore(acknowledged);
        peers_know_upstream_ =
            peers_know_upstream_ || !acknowledged.order_.instance_.empty();
        trust_peers_without_platform();
    }

    /// Handles the first call to the directory, which succeeds if no upstream
    /// has left this VM.
    void on_registered(const result<void>& none)
    {
        if (none)
        {
            departures_.assume_absent();
            use_upstream();
            return;
        }
        departures_.load();
        if (none.error().kind_ != error_kind::conflict)
        {
            on_departures_read(false);
        }
    }

    void on_departures_read(bool loaded)
    {
        if (loaded)
        {
            use_upstream();
            return;
        }
        departures_unavailable_ = true;
        trust_peers_without_platform();
    }

    /// Uses the upstream by what peers have told of it if the platform does not
    /// answer.
    void trust_peers_without_platform()
    {
        if (departures_unavailable_ && peers_know_upstream_)
        {
            use_upstream();
        }
    }

    void use_upstream()
    {
        if (!std::exchange(uses_upstream_, true))
        {
            upstream_.end_wait_for_earlier_state();
            records_.refresh();
        }
    }

    /// Writes the departures again after the platform has lost changes.
    void restore_departures()
    {
        if (context_.platform_era_ <= departures_era_)
        {
            return;
        }
        const bool is_first = departures_era_ == platform_era{};
        departures_era_ = context_.platform_era_;
        if (!is_first)
        {
            log_event<log_event_id::platform_restored>(
                log_fields::revision(config_.current_revision()));
        }
        // Spread, so that not all nodes call the platform at the same time.
        const std::chrono::milliseconds delay{
            context_.random_() %
            static_cast<std::uint64_t>(departures_spread.count())};
        network_.after(
            delay,
            [this, era = departures_era_]
            {
                departures_.restore_in(era);
            });
    }

    void run_housekeeping()
    {
        context_.members_.remove_expired(time_.now(), settings_.membership_);
        choose_poll_mode();
        report_members();
        if (lifecycle_.state() == node_state::serving)
        {
            directory_.maintain(
                [this](const std::vector<directory_row>& rows)
                {
                    repairs_.contact_unknown(contacts_of(rows));
                });
        }
    }

    /// Replaces the contacts of the context by those of the settings and of the
    /// directory. Returns those of the directory, and records its nodes.
    std::vector<endpoint> contacts_of(const std::vector<directory_row>& rows)
    {
        std::vector<endpoint> contacts;
        contacts.reserve(rows.size());
        for (const auto& row : rows)
        {
            contacts.push_back(row.control_);
        }
        quotas_.set_directory(rows);
        context_.bootstrap_contacts_ = settings_.peers_;
        context_.bootstrap_contacts_.insert(
            context_.bootstrap_contacts_.end(), contacts.begin(),
            contacts.end());
        return contacts;
    }

    void choose_poll_mode()
    {
        if (lifecycle_.state() == node_state::joining)
        {
            return;
        }
        poller_.set_mode(
            hemlockshelf::choose_poll_mode(current_reader_status()));
    }

    [[nodiscard]] reader_status current_reader_status() const
    {
        return {
            own_reader_rank(), platform_contact_.lost_, time_since_contact()};
    }

    /// Returns this node's rank among the readers of the platform, if it is
    /// one.
    [[nodiscard]] std::optional<std::size_t> own_reader_rank() const
    {
        if (!uses_published_config_)
        {
            return reader_rank(
                context_, settings_.dissemination_.readers_per_domain_);
        }
        const auto rank = readers_.own_rank();
        return !rank && replaces_readers_ ? readers_.all().size() : rank;
    }

    /// Returns the time since the last contact with another node.
    [[nodiscard]] std::chrono::nanoseconds time_since_contact() const
    {
        return time_.now() - heartbeats_.last_contact();
    }

    /// Updates the poll mode as soon as the candidates for readers have changed
    /// or contact with the other nodes is lost or restored.
    void update_poll_mode()
    {
        auto members =
            context_.members_.members_in_domain(context_.self_.failure_domain_);
        const bool isolated = is_isolated(time_since_contact());
        const bool readers_changed = readers_.update();
        const bool replaces_readers = reader_watch_.has_lost_readers();
        if (readers_changed || members != domain_members_ ||
            isolated != isolated_ || replaces_readers != replaces_readers_)
        {
            replaces_readers_ = replaces_readers;
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
    config_manager config_;
    control_network network_;
    control_context context_;
    contact_tracker contacts_;
    push_agent pushes_;
    membership_agent records_;
    repair_agent repairs_;
    push_coordinator push_coordinator_;
    heartbeat_agent heartbeats_;
    join_agent joins_;
    platform_poller poller_;
    local_upstream& upstream_;
    departure_agent departures_;
    directory_agent directory_;
    publication_readers readers_;
    reader_watch reader_watch_;
    credential_lease account_lease_;
    configuration_lease configuration_lease_;
    confirmation_agent confirmations_;
    quota_agent quotas_;
    node_lifecycle lifecycle_;
    std::atomic<node_state> state_ = node_state::starting;
    std::atomic<std::uint64_t> highest_known_ = 0;
    /// Written by the control thread and also read by the threads that handle
    /// calls.
    std::atomic<steady_time> last_tick_;
    steady_time started_at_;
    steady_time join_grace_until_;
    steady_time next_delay_report_;
    incarnation incarnation_;
    /// Whether this process knows enough of what earlier ones have acknowledged
    /// to the upstream.
    bool uses_upstream_ = false;
    /// Whether departures are read from their own row.
    bool loads_departures_ = false;
    /// Whether the platform did not say what upstreams have left.
    bool departures_unavailable_ = false;
    /// Whether another node has told what an earlier process acknowledged.
    bool peers_know_upstream_ = false;
    /// Era of the platform in which the departures are written or checked.
    platform_era departures_era_;
    /// Whether the node polls the platform before it has joined.
    bool polls_while_joining_ = false;
    /// What the node has read from the platform before it has joined, if no
    /// peer had reported it.
    std::vector<accepted_delta> join_deltas_;
    bool running_ = false;
    /// Whether the platform answered the last poll.
    bool platform_answers_ = true;
    platform_contact platform_contact_;
    /// Whether operators publish whole configurations on the platform.
    bool uses_published_config_ = false;
    std::shared_ptr<const member_table::entry_pointers> domain_members_;
    bool isolated_ = false;
    /// Whether the node reads the platform in place of readers that it cannot
    /// reach.
    bool replaces_readers_ = false;
};

control_plane::control_plane(
    const node_settings& settings,
    const clock& time,
    polled_services services,
    snapshot_store& snapshots,
    member_table& members,
    local_upstream& upstream,
    metric_sink& metrics)
    : impl_(std::make_unique<impl>(
          settings, time, services, snapshots, members, upstream, metrics))
{}

control_plane::~control_plane() = default;

void control_plane::start()
{
    impl_->start();
}

void control_plane::drain()
{
    impl_->drain();
}

void control_plane::withdraw_upstream()
{
    impl_->withdraw_upstream();
}

void control_plane::share_upstream(std::function<void()> done)
{
    impl_->share_upstream(std::move(done));
}

void control_plane::store_upstream(std::function<void()> done)
{
    impl_->store_upstream(std::move(done));
}

void control_plane::stop()
{
    impl_->stop();
}

void control_plane::apply_edit(const change_record& record)
{
    impl_->apply_edit(record);
}

bool control_plane::may_route() const
{
    return impl_->may_route();
}

node_state control_plane::state() const
{
    return impl_->state();
}

bool control_plane::accounts_confirmed() const
{
    return impl_->accounts_confirmed();
}

request_quota& control_plane::account_quota()
{
    return impl_->account_quota();
}

revision control_plane::highest_known_revision() const
{
    return impl_->highest_known_revision();
}

incarnation control_plane::own_incarnation() const
{
    return impl_->own_incarnation();
}

} // namespace hemlockshelf
