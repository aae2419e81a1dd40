#include "node/confirmation_agent.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "adapters/telemetry/event_log.hpp"
#include "hemlockshelf/dissemination/readers.hpp"

namespace hemlockshelf {

namespace {

using namespace std::chrono_literals;

// A reader's confirmation is up to 2 s old, since a call to the platform waits
// for up to 1 s. Each of up to three levels of nodes adds one interval, so that
// confirmations are usually renewed before the leases end.
constexpr std::chrono::milliseconds ask_interval{500};
constexpr std::chrono::milliseconds first_ask_interval{100};
// An answer counts from its question, so that a late one is still of use.
constexpr std::chrono::milliseconds ask_deadline{3000};

// Nodes of a failure domain that watch a reader (`reader_watch`). The others
// ask these or, in a large domain, nodes that do.
constexpr std::size_t first_level_nodes = 2;
constexpr std::size_t askers_per_node = 32;

// Age from which a node also asks nodes that it usually does not ask.
constexpr std::chrono::milliseconds late_age{2200};
// Age from which a node reads the platform by itself.
constexpr std::chrono::milliseconds platform_read_age{2800};
constexpr std::chrono::milliseconds platform_read_interval{1000};

} // namespace

confirmation_agent::confirmation_agent(
    control_context& context,
    const publication_readers& readers,
    repair_agent& repairs,
    node_leases leases,
    std::function<void()> read_platform)
    : context_(context), readers_(readers), repairs_(repairs), leases_(leases),
      read_platform_(std::move(read_platform))
{}

void confirmation_agent::tick()
{
    apply_pending();
    update_outlook();
    if (uses_accounts())
    {
        report_accounts();
    }
    report_configuration();
    const auto now = context_.time_.boot_now();
    if (now < next_ask_)
    {
        return;
    }
    if (!active_since_)
    {
        active_since_ = now;
    }
    ++rounds_;
    const auto age = leases_.configuration_.age(now);
    const auto unconfirmed_for = age.value_or(now - *active_since_);
    const bool is_late = unconfirmed_for > late_age;
    // Without a first confirmation, requests with API keys are refused.
    const bool waits_for_accounts = !age && uses_accounts();
    const bool asks_often = !age && (waits_for_accounts || !is_late);
    next_ask_ = now + (asks_often ? first_ask_interval : ask_interval);
    for (const auto& vm : choose_sources(is_late || waits_for_accounts))
    {
        ask(vm);
    }
    read_platform_if_due(unconfirmed_for);
}

void confirmation_agent::record(revision newest, boot_time at)
{
    if (at > latest_)
    {
        latest_ = at;
        heard_at_ = context_.time_.boot_now();
    }
    if (newest <= context_.config_.current_revision())
    {
        leases_.accounts_.confirm(at);
        leases_.configuration_.confirm(at);
        return;
    }
    if (repairs_.has_refused(newest))
    {
        // There is no newer configuration that this node could run. Its
        // accounts are out of date all the same.
        leases_.configuration_.confirm(at);
    }
    // A later confirmation of a still newer revision must not replace one that
    // is about to come into force.
    if (!pending_ || newest <= pending_->newest_)
    {
        pending_ = {newest, at};
    }
}

void confirmation_agent::set_platform_behind(bool behind)
{
    if (std::exchange(platform_is_behind_, behind) == behind)
    {
        return;
    }
    const auto held = log_fields::revision(context_.config_.current_revision());
    if (behind)
    {
        log_event<log_event_id::platform_behind>(held);
    }
    else
    {
        log_event<log_event_id::platform_caught_up>(held);
    }
}

void confirmation_agent::record_answer(
    const heartbeat_message& answer, boot_time asked_at)
{
    record_platform_era(context_, answer.platform_era_);
    if (answer.confirmation_age_)
    {
        record(answer.revision_, asked_at - *answer.confirmation_age_);
    }
}

std::optional<std::chrono::milliseconds> confirmation_agent::age() const
{
    // The accounts are confirmed together with the configuration, unless this
    // node has refused a newer one.
    const auto age = leases_.accounts_.age(context_.time_.boot_now());
    return age ? std::optional(
                     std::chrono::ceil<std::chrono::milliseconds>(*age))
               : std::nullopt;
}

void confirmation_agent::apply_pending()
{
    if (pending_ && pending_->newest_ <= context_.config_.current_revision())
    {
        leases_.accounts_.confirm(pending_->at_);
        leases_.configuration_.confirm(pending_->at_);
        pending_.reset();
    }
}

bool confirmation_agent::uses_accounts() const
{
    return leases_.accounts_.is_limited() &&
           !context_.config_.current()->accounts().empty();
}

bool confirmation_agent::has_readers() const
{
    return std::ranges::any_of(
        readers_.all(),
        [this](const vm_id& vm)
        {
            const auto entry = context_.members_.find(vm);
            return entry && !entry->record_.platform_lost_;
        });
}

bool confirmation_agent::reads_platform() const
{
    const auto own = context_.members_.find(context_.self_.vm_);
    return readers_.own_rank() && own && !own->record_.platform_lost_ &&
           !platform_is_behind_;
}

void confirmation_agent::update_outlook()
{
    const auto now = context_.time_.boot_now();
    confirmation_outlook outlook;
    outlook.knows_newer_ = repairs_.knows_newer();
    outlook.has_readers_ = has_readers();
    outlook.reads_platform_ = reads_platform();
    if (heard_at_)
    {
        outlook.since_heard_ = now - *heard_at_;
    }
    outlook.loop_delay_ = recent_loop_delay(context_);
    leases_.configuration_.set_outlook(outlook);
}

void confirmation_agent::report_configuration()
{
    const auto now = context_.time_.boot_now();
    const auto age = leases_.configuration_.age(now);
    if (age)
    {
        context_.metrics_.set(
            metric_id::configuration_age, {},
            std::chrono::duration<double>(*age).count());
    }
    const bool is_valid = leases_.configuration_.is_valid(now, {});
    if (std::exchange(configuration_was_valid_, is_valid) == is_valid)
    {
        return;
    }
    const auto held = context_.config_.current_revision();
    if (is_valid)
    {
        log_event<log_event_id::configuration_confirmed>(
            log_fields::revision(held));
        return;
    }
    log_event<log_event_id::configuration_unconfirmed>(
        log_fields::revision(held),
        log_fields::loop_delay_ms(recent_loop_delay(context_)));
}

void confirmation_agent::report_accounts()
{
    const auto now = context_.time_.boot_now();
    const bool is_valid = leases_.accounts_.is_valid(now);
    if (const auto age = leases_.accounts_.age(now))
    {
        context_.metrics_.set(
            metric_id::credential_age, {},
            std::chrono::duration<double>(*age).count());
    }
    if (std::exchange(accounts_were_valid_, is_valid) == is_valid)
    {
        return;
    }
    const auto held = context_.config_.current_revision();
    if (is_valid)
    {
        log_event<log_event_id::accounts_confirmed>(log_fields::revision(held));
        return;
    }
    log_event<log_event_id::accounts_unconfirmed>(log_fields::revision(held));
}

std::vector<vm_id> confirmation_agent::choose_sources(bool include_random)
{
    const auto& own = context_.self_;
    std::vector<vm_id> sources;
    const auto add_random = [&](const std::vector<vm_id>& vms)
    {
        if (!vms.empty())
        {
            sources.push_back(vms.at(context_.random_() % vms.size()));
        }
    };
    auto peers = peers_in(context_, own.failure_domain_);
    auto members = peers;
    members.push_back(own.vm_);
    const auto count = members.size();
    const auto order = choose_by_rendezvous_hash(
        own.failure_domain_, std::move(members), count);
    const auto rank = rank_among(context_, order).value_or(0);
    if (!readers_.own_rank() && rank >= first_level_nodes)
    {
        // Two nodes are asked in turn, so that one may be silent.
        const auto group =
            (rank - first_level_nodes) / (first_level_nodes * askers_per_node);
        sources.push_back(
            order.at(group * first_level_nodes + rounds_ % first_level_nodes));
    }
    // The nodes of the first level hear of the readers by their watch.
    if (include_random)
    {
        add_random(readers_.all());
        add_random(peers);
    }
    std::erase(sources, own.vm_);
    return sources;
}

void confirmation_agent::ask(const vm_id& vm)
{
    const auto peer = address_of(context_, vm);
    if (!peer)
    {
        return;
    }
    // The age counts from the question: the answer may have been delayed.
    const auto asked_at = context_.time_.boot_now();
    context_.network_.heartbeat(
        *peer, own_heartbeat(context_), ask_deadline,
        [this, asked_at, peer = *peer](const result<heartbeat_message>& answer)
        {
            if (!answer)
            {
                return;
            }
            record_answer(*answer, asked_at);
            // Few nodes of a failure domain fetch from another one.
            if (answer->sender_.failure_domain_ ==
                context_.self_.failure_domain_)
            {
                repairs_.compare_revision(peer, answer->revision_);
            }
        });
}

bool confirmation_agent::is_first_level() const
{
    return rendezvous_rank(context_, first_level_nodes).has_value();
}

void confirmation_agent::read_platform_if_due(
    std::chrono::nanoseconds unconfirmed_for)
{
    const auto now = context_.time_.boot_now();
    if (unconfirmed_for <= platform_read_age || now < next_read_)
    {
        return;
    }
    // Without accounts, a node without a confirmation either is cut off from
    // the platform as well or refuses calls, and may wait for others.
    if (!uses_accounts() && !(is_first_level() && has_readers()))
    {
        return;
    }
    // Spread, because a whole failure domain may need it at the same time.
    next_read_ = now + platform_read_interval +
                 std::chrono::milliseconds{
                     context_.random_() % static_cast<std::uint64_t>(
                                              platform_read_interval.count())};
    read_platform_();
}

} // namespace hemlockshelf
