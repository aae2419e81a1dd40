#include "node/repair_agent.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "adapters/telemetry/event_log.hpp"

namespace hemlockshelf {

namespace {

// A peer that serves snapshots may be busy for several attempts.
constexpr int max_fetch_attempts = 8;
// A second fetch is started beside one that has not ended after this time. The
// peer may be silent, and its deadline is longer than other steps can wait.
constexpr std::chrono::milliseconds fetch_hedge_delay{250};
constexpr std::size_t max_parallel_fetches = 2;
// Minimum interval between record exchanges with neighbours whose digests
// differ.
constexpr std::chrono::seconds exchange_interval{2};
constexpr std::chrono::milliseconds contact_retry{500};
constexpr std::uint64_t configured_peer_share = 4;

std::map<vm_id, member_update> by_vm(const std::vector<member_update>& updates)
{
    std::map<vm_id, member_update> map;
    for (const auto& update : updates)
    {
        map.emplace(update.record_.vm_, update);
    }
    return map;
}

} // namespace

repair_agent::repair_agent(
    control_context& context,
    push_agent& pushes,
    membership_agent& records,
    contact_tracker& contacts)
    : context_(context), pushes_(pushes), records_(records),
      contacts_(contacts), limiter_(context.settings_.dissemination_),
      next_domain_(context.random_())
{
    take_due_repairs(
        schedule_, context_.time_.now(), context_.settings_.dissemination_,
        context_.random_());
}

void repair_agent::tick()
{
    const auto due = take_due_repairs(
        schedule_, context_.time_.now(), context_.settings_.dissemination_,
        context_.random_());
    if (due.local_)
    {
        contact_local();
    }
    if (due.cross_)
    {
        contact_other_domain();
    }
}

void repair_agent::shorten_intervals()
{
    hemlockshelf::shorten_intervals(schedule_, context_.time_.now());
}

void repair_agent::contact_local()
{
    const auto peers = peers_in(context_, context_.self_.failure_domain_);
    if (const auto vm = choose_peer(peers, context_.random_()))
    {
        contact_member(*vm);
    }
}

void repair_agent::contact_other_domain()
{
    std::vector<failure_domain_id> domains;
    std::vector<failure_domain_id> unreachable;
    for (const auto& [domain, region] : context_.members_.domains())
    {
        if (domain == context_.self_.failure_domain_)
        {
            continue;
        }
        domains.push_back(domain);
        if (!contacts_.is_reachable(domain))
        {
            unreachable.push_back(domain);
        }
    }
    if (domains.empty() || context_.random_() % configured_peer_share == 0)
    {
        contact_configured_peer();
    }
    // Half of the contacts probe unreachable domains, to detect when they can
    // be reached again.
    if (!unreachable.empty() && context_.random_() % 2 == 0)
    {
        domains = std::move(unreachable);
    }
    if (domains.empty())
    {
        return;
    }
    const auto domain =
        std::exchange(retried_domain_, std::nullopt)
            .value_or(domains.at(next_domain_++ % domains.size()));
    if (const auto vm =
            choose_peer(peers_in(context_, domain), context_.random_()))
    {
        contact_member(*vm);
    }
}

// This is the only way for two groups of nodes that started separately to
// discover each other.
void repair_agent::contact_configured_peer()
{
    const auto& peers = context_.bootstrap_contacts_;
    if (peers.empty())
    {
        return;
    }
    const auto& address = peers.at(context_.random_() % peers.size());
    if (address != context_.settings_.advertised_control_)
    {
        contact({address, {}}, std::nullopt);
    }
}

void repair_agent::contact_unknown(const std::vector<endpoint>& contacts)
{
    std::set<std::string> known;
    for (const auto& entry : context_.members_.all())
    {
        known.insert(entry.record_.control_address_);
    }
    for (const auto& address : contacts)
    {
        if (!known.contains(to_string(address)))
        {
            contact({address, {}}, std::nullopt);
        }
    }
}

void repair_agent::contact_member(const vm_id& vm)
{
    const auto entry = context_.members_.find(vm);
    const auto peer =
        entry ? address_of(context_, entry->record_) : std::nullopt;
    if (peer)
    {
        contact(*peer, to_tree_member(entry->record_));
    }
}

void repair_agent::contact(
    const peer_address& peer, std::optional<tree_member> member)
{
    context_.network_.heartbeat(
        peer, own_heartbeat(context_),
        context_.settings_.dissemination_.cross_domain_push_deadline_,
        [this, peer,
         member = std::move(member)](const result<heartbeat_message>& answer)
        {
            if (member)
            {
                contacts_.record_contact(*member, answer.has_value());
            }
            if (answer)
            {
                compare_revision(peer, answer->revision_);
                // The repair schedule limits the rate of these exchanges.
                if (records_differ(*answer))
                {
                    exchange_records(peer, [](bool) {});
                }
                return;
            }
            // Retry soon, so that another contact confirms or refutes the
            // failure.
            if (member &&
                member->failure_domain_ != context_.self_.failure_domain_ &&
                contacts_.is_reachable(member->failure_domain_))
            {
                retried_domain_ = member->failure_domain_;
                schedule_.next_cross_ = std::min(
                    schedule_.next_cross_,
                    context_.time_.now() + contact_retry);
            }
        });
}

void repair_agent::record_revision(revision seen)
{
    highest_seen_ = std::max(highest_seen_, seen);
    const auto current = context_.config_.current_revision();
    const auto lag =
        highest_seen_ > current ? highest_seen_.value() - current.value() : 0;
    context_.metrics_.set(metric_id::config_lag, {}, static_cast<double>(lag));
}

void repair_agent::compare_with_peer(
    const peer_address& peer, const heartbeat_message& heartbeat)
{
    compare_revision(peer, heartbeat.revision_);
    const auto now = context_.time_.now();
    if (now >= next_exchange_ && records_differ(heartbeat))
    {
        next_exchange_ = now + exchange_interval;
        exchange_records(peer, [](bool) {});
    }
}

void repair_agent::compare_revision(
    const peer_address& peer, revision peer_revision)
{
    record_revision(peer_revision);
    if (peer_revision <= context_.config_.current_revision() || fetch_planned_)
    {
        return;
    }
    fetch_planned_ = true;
    context_.network_.after(
        context_.settings_.dissemination_.repair_grace_,
        [this, peer, peer_revision]
        {
            fetch_planned_ = false;
            if (peer_revision > context_.config_.current_revision())
            {
                fetch_from(peer, [](bool) {});
            }
        });
}

bool repair_agent::records_differ(const heartbeat_message& heartbeat) const
{
    return heartbeat.membership_root_ != root_of(context_.members_.digest());
}

void repair_agent::fetch_from(
    const peer_address& peer, const completion_handler& done)
{
    if (may_start_fetch())
    {
        start_fetch(peer, done);
        return;
    }
    if (const auto replaced =
            std::exchange(waiting_, waiting_fetch{peer, done}))
    {
        replaced->done_(false);
    }
    context_.network_.after(
        fetch_hedge_delay,
        [this]
        {
            start_waiting_fetch();
        });
}

bool repair_agent::may_start_fetch() const
{
    return fetches_ == 0 ||
           (fetches_ < max_parallel_fetches &&
            context_.time_.now() - last_fetch_ >= fetch_hedge_delay);
}

void repair_agent::start_fetch(
    const peer_address& peer, const completion_handler& done)
{
    ++fetches_;
    last_fetch_ = context_.time_.now();
    fetch(peer, false, 0, done);
}

void repair_agent::start_waiting_fetch()
{
    const bool is_current =
        context_.config_.current_revision() >= highest_seen_;
    if (!waiting_ || (!is_current && !may_start_fetch()))
    {
        return;
    }
    const auto next = std::exchange(waiting_, std::nullopt);
    if (is_current)
    {
        next->done_(true);
    }
    else
    {
        start_fetch(next->peer_, next->done_);
    }
}

void repair_agent::fetch(
    const peer_address& peer,
    bool whole,
    int attempt,
    const completion_handler& done)
{
    if (attempt >= max_fetch_attempts)
    {
        finish_fetch(done, false);
        return;
    }
    context_.network_.fetch_config(
        peer, {context_.self_, context_.config_.current_revision(), whole},
        context_.settings_.dissemination_.fetch_deadline_,
        [this, peer, attempt, done](const result<config_answer>& answer)
        {
            if (answer)
            {
                on_config(peer, attempt, *answer, done);
                return;
            }
            finish_fetch(done, false);
        });
}

void repair_agent::on_config(
    const peer_address& peer,
    int attempt,
    const config_answer& answer,
    const completion_handler& done)
{
    if (answer.kind_ == config_answer_kind::busy)
    {
        // Jitter, so that nodes refused at the same time do not retry together.
        const auto wait =
            answer.retry_after_ +
            answer.retry_after_ *
                static_cast<std::int64_t>(context_.random_() % 8) / 8;
        context_.network_.after(
            wait,
            [this, peer, attempt, done]
            {
                fetch(peer, false, attempt + 1, done);
            });
        return;
    }
    if (answer.kind_ == config_answer_kind::deltas)
    {
        const auto deltas = decode_deltas(answer.payload_);
        if (!deltas)
        {
            context_.config_.count_rejection(deltas.error());
        }
        const auto applied =
            deltas ? context_.config_.apply(*deltas, apply_source::repair)
                   : result<void>(tl::unexpected<error>(deltas.error()));
        if (!applied)
        {
            log_event<log_event_id::repair_deltas_rejected>(
                log_fields::peer_address(to_string(peer.endpoint_)),
                log_fields::error_kind(applied.error().kind_),
                log_fields::detail(applied.error().message_));
            fetch(peer, true, attempt + 1, done);
            return;
        }
    }
    if (answer.kind_ == config_answer_kind::snapshot)
    {
        const auto snapshot = decode_snapshot(answer.payload_);
        if (!snapshot)
        {
            context_.config_.count_rejection(snapshot.error());
            log_event<log_event_id::repair_snapshot_rejected>(
                log_fields::peer_address(to_string(peer.endpoint_)),
                log_fields::error_kind(snapshot.error().kind_),
                log_fields::detail(snapshot.error().message_));
            refused_ = highest_seen_;
            finish_fetch(done, false);
            return;
        }
        context_.config_.apply_snapshot(*snapshot, apply_source::repair);
    }
    finish_fetch(done, true);
}

void repair_agent::finish_fetch(const completion_handler& done, bool success)
{
    --fetches_;
    done(success);
    start_waiting_fetch();
}

void repair_agent::exchange_records(
    const peer_address& peer, completion_handler done)
{
    context_.network_.member_digest(
        peer, {context_.self_, context_.members_.digest()},
        context_.settings_.dissemination_.fetch_deadline_,
        [this, peer,
         done = std::move(done)](const result<digest_answer>& answer)
        {
            if (answer)
            {
                on_records(peer, *answer);
            }
            done(answer.has_value());
        });
}

void repair_agent::on_records(
    const peer_address& peer, const digest_answer& answer)
{
    records_.merge(answer.records_);
    const auto theirs = by_vm(answer.records_);
    std::vector<member_update> missing;
    for (auto& update : context_.members_.updates_in(
             member_table::bucket_set(answer.differing_)))
    {
        const auto found = theirs.find(update.record_.vm_);
        if (found == theirs.end() || supersedes(update, found->second))
        {
            missing.push_back(std::move(update));
        }
    }
    if (!missing.empty())
    {
        pushes_.send_records(peer, std::move(missing));
    }
}

config_answer repair_agent::on_fetch(const fetch_request& request)
{
    const auto snapshot = context_.config_.current();
    if (request.from_ >= snapshot->number())
    {
        return {};
    }
    if (!request.whole_)
    {
        if (const auto deltas = context_.config_.deltas_after(request.from_))
        {
            return {config_answer_kind::deltas, encode_deltas(*deltas), {}};
        }
    }
    if (const auto wait = limiter_.admit_or_delay(context_.time_.now()))
    {
        return {config_answer_kind::busy, {}, *wait};
    }
    return {config_answer_kind::snapshot, encode_snapshot(*snapshot), {}};
}

digest_answer repair_agent::on_digest(const digest_request& request)
{
    const auto own = context_.members_.digest();
    member_table::bucket_set differing;
    for (std::size_t bucket = 0; bucket < own.size(); ++bucket)
    {
        differing.set(bucket, own.at(bucket) != request.digest_.at(bucket));
    }
    return {differing.to_ullong(), context_.members_.updates_in(differing)};
}

} // namespace hemlockshelf
