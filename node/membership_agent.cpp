#include "node/membership_agent.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

#include "adapters/telemetry/event_log.hpp"
#include "hemlockshelf/membership/warm_up.hpp"

namespace hemlockshelf {

namespace {

// Nodes that are asked to hold what has been acknowledged to the upstream, in
// the own failure domain and elsewhere: either may be lost at once.
constexpr std::size_t local_holders = 2;
constexpr std::size_t remote_holders = 2;
// Answers that are enough: one holder may end with this process.
constexpr std::size_t needed_holders = 2;

/// Returns whether a restarted node has to know this. Announcements without a
/// name are of one start, which only a drain can end.
bool is_worth_holding(const acknowledged_upstream& acknowledged)
{
    return !acknowledged.order_.instance_.empty() || acknowledged.drained_;
}

incarnation make_incarnation(const clock& time)
{
    const auto since_epoch = time.wall_now().time_since_epoch();
    return incarnation{static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
            .count())};
}

member_record make_record(const control_context& context)
{
    const auto& settings = context.settings_;
    member_record record;
    record.vm_ = settings.vm_;
    record.failure_domain_ = settings.failure_domain_;
    record.region_ = settings.region_;
    record.gate_address_ = to_string(settings.advertised_gate_);
    record.control_address_ = to_string(settings.advertised_control_);
    record.admin_address_ = to_string(settings.advertised_admin_);
    record.link_ = settings.link_;
    record.incarnation_ = make_incarnation(context.time_);
    return record;
}

membership_settings lifecycle_settings(const node_settings& settings)
{
    auto membership = settings.membership_;
    membership.warm_up_time_ =
        jittered_warm_up_time(membership.warm_up_time_, settings.vm_);
    return membership;
}

} // namespace

membership_agent::membership_agent(
    control_context& context,
    push_agent& pushes,
    const local_upstream& upstream)
    : context_(context), pushes_(pushes), upstream_(upstream),
      lifecycle_(lifecycle_settings(context.settings_)),
      record_(make_record(context))
{
    context_.members_.merge(record_);
}

void membership_agent::refresh()
{
    const auto announcement = joined_ ? upstream_.current() : std::nullopt;
    lifecycle_.observe(announcement, context_.time_.now());
    auto next = record_;
    next.state_ = lifecycle_.state();
    // An upstream that no longer announces itself keeps its service, so that
    // its pool lists it as down.
    if (announcement)
    {
        next.account_ = announcement->account_;
        next.service_ = announcement->service_;
        next.slots_ = announcement->slots_;
        next.connections_ = announcement->connections_;
    }
    const auto acknowledged = joined_ ? upstream_.acknowledged() : std::nullopt;
    const bool is_told =
        next == record_ && equivalent(acknowledged, record_.acknowledged_);
    if (acknowledged && !is_told)
    {
        next.acknowledged_ =
            is_worth_holding(*acknowledged) ? acknowledged : std::nullopt;
    }
    if (next == record_)
    {
        return;
    }
    if (next.state_ != record_.state_)
    {
        log_event<log_event_id::upstream_changed>(
            log_fields::instance(
                announcement ? announcement->order_.instance_ : ""),
            log_fields::state(to_string(next.state_)));
    }
    publish(std::move(next));
}

void membership_agent::announce()
{
    pushes_.push_records({{record_, false}});
}

std::vector<member_update>
membership_agent::merge(const std::vector<member_update>& updates)
{
    std::vector<member_update> newer;
    for (const auto& update : updates)
    {
        if (update.record_.vm_ == context_.self_.vm_)
        {
            refute(update);
        }
        else if (merge_other(update))
        {
            newer.push_back(update);
        }
    }
    return newer;
}

bool membership_agent::merge_other(const member_update& update)
{
    const auto& vm = update.record_.vm_;
    const auto before = context_.members_.find(vm);
    if (!context_.members_.merge(update))
    {
        return false;
    }
    const auto after = context_.members_.find(vm);
    if (after && (!before || before->record_.state_ != after->record_.state_ ||
                  before->record_.incarnation_ != after->record_.incarnation_))
    {
        // Rate-limited, because a change of one node is logged by every node.
        log_request_event<log_event_id::member_changed>(
            log_fields::peer(vm),
            log_fields::state(to_string(after->record_.state_)),
            log_fields::incarnation(after->record_.incarnation_));
    }
    return true;
}

void membership_agent::set_platform_lost(bool lost)
{
    if (record_.platform_lost_ == lost)
    {
        return;
    }
    auto next = record_;
    next.platform_lost_ = lost;
    publish(std::move(next));
}

void membership_agent::record_platform_round_trip(
    std::chrono::microseconds elapsed)
{
    const auto& known = record_.platform_round_trip_;
    if (known && 2 * elapsed >= *known)
    {
        return;
    }
    auto next = record_;
    next.platform_round_trip_ = elapsed;
    publish(std::move(next));
}

void membership_agent::drain()
{
    lifecycle_.drain();
    refresh();
}

void membership_agent::leave()
{
    lifecycle_.leave();
    refresh();
}

void membership_agent::on_joined()
{
    joined_ = true;
    refresh();
    for (auto& done : std::exchange(early_shares_, {}))
    {
        send_to_holders(std::move(done));
    }
}

void membership_agent::share_upstream(std::function<void()> done)
{
    if (!joined_)
    {
        early_shares_.push_back(std::move(done));
        return;
    }
    refresh();
    send_to_holders(std::move(done));
}

/// Progress of sending the own record to the nodes that are to hold it.
struct membership_agent::share
{
    std::function<void()> done_;
    std::size_t unanswered_ = 0;
    std::size_t holders_ = 0;

    void on_answer(bool holds)
    {
        --unanswered_;
        holders_ += holds ? 1 : 0;
        if (done_ && (holders_ == needed_holders || unanswered_ == 0))
        {
            std::exchange(done_, nullptr)();
        }
    }
};

void membership_agent::send_to_holders(std::function<void()> done)
{
    const auto holders = choose_holders();
    if (holders.empty())
    {
        done();
        return;
    }
    auto progress = std::make_shared<share>();
    progress->done_ = std::move(done);
    progress->unanswered_ = holders.size();
    for (const auto& holder : holders)
    {
        pushes_.send_records(
            holder, {{record_, false}},
            [progress](bool holds)
            {
                progress->on_answer(holds);
            });
    }
}

std::vector<peer_address> membership_agent::choose_holders() const
{
    std::vector<peer_address> holders;
    const auto add = [&](const failure_domain_id& domain, std::size_t limit)
    {
        auto peers = peers_in(context_, domain);
        std::ranges::shuffle(peers, context_.random_);
        for (const auto& vm : peers)
        {
            const auto entry = context_.members_.find(vm);
            const auto address = address_of(context_, vm);
            if (limit > 0 && address && entry &&
                entry->liveness_ == liveness::alive)
            {
                holders.push_back(*address);
                --limit;
            }
        }
    };
    add(context_.self_.failure_domain_, local_holders);
    const auto local = holders.size();
    for (const auto& [domain, region] : context_.members_.domains())
    {
        if (domain != context_.self_.failure_domain_ &&
            holders.size() < local + remote_holders)
        {
            add(domain, 1);
        }
    }
    return holders;
}

void membership_agent::publish(member_record next)
{
    next.sequence_ = sequence{record_.sequence_.value() + 1};
    record_ = std::move(next);
    context_.members_.merge(record_);
    announce();
}

void membership_agent::refute(const member_update& claim)
{
    if (!supersedes(claim, {record_, false}))
    {
        return;
    }
    log_event<log_event_id::own_record_superseded>(
        log_fields::incarnation(claim.record_.incarnation_),
        log_fields::down(claim.down_));
    auto next = record_;
    const auto lowest = claim.record_.incarnation_.value() + 1;
    next.incarnation_ =
        incarnation{std::max(make_incarnation(context_.time_).value(), lowest)};
    publish(std::move(next));
}

} // namespace hemlockshelf
