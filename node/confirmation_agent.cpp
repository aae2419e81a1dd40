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
// confirmations are renewed before the lease of 4 s ends.
constexpr std::chrono::milliseconds ask_interval{500};
constexpr std::chrono::milliseconds first_ask_interval{100};
constexpr std::chrono::milliseconds ask_deadline{450};

// Nodes of a failure domain that ask a reader. The others ask these or, in a
// large domain, nodes that do.
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
    credential_lease& lease,
    std::function<void()> read_platform)
    : context_(context), readers_(readers), lease_(lease),
      read_platform_(std::move(read_platform))
{}

void confirmation_agent::tick()
{
    apply_pending();
    if (!lease_.is_limited() || context_.config_.current()->accounts().empty())
    {
        active_since_.reset();
        return;
    }
    const auto now = context_.time_.boot_now();
    if (!active_since_)
    {
        active_since_ = now;
    }
    report_state();
    if (now < next_ask_)
    {
        return;
    }
    const auto age = lease_.age(now);
    next_ask_ = now + (age ? ask_interval : first_ask_interval);
    const auto unconfirmed_for = age.value_or(now - *active_since_);
    for (const auto& vm : choose_sources(!age || *age > late_age))
    {
        ask(vm);
    }
    read_platform_if_due(unconfirmed_for);
}

void confirmation_agent::record(revision newest, boot_time at)
{
    if (newest <= context_.config_.current_revision())
    {
        lease_.confirm(at);
        return;
    }
    // A later confirmation of a still newer revision must not replace one that
    // is about to come into force.
    if (!pending_ || newest <= pending_->newest_)
    {
        pending_ = {newest, at};
    }
}

std::optional<std::chrono::milliseconds> confirmation_agent::age() const
{
    if (!lease_.is_limited() || context_.config_.current()->accounts().empty())
    {
        return std::nullopt;
    }
    const auto age = lease_.age(context_.time_.boot_now());
    return age ? std::optional(
                     std::chrono::ceil<std::chrono::milliseconds>(*age))
               : std::nullopt;
}

void confirmation_agent::apply_pending()
{
    if (pending_ && pending_->newest_ <= context_.config_.current_revision())
    {
        lease_.confirm(pending_->at_);
        pending_.reset();
    }
}

void confirmation_agent::report_state()
{
    const auto now = context_.time_.boot_now();
    const bool is_valid = lease_.is_valid(now);
    if (const auto age = lease_.age(now))
    {
        context_.metrics_.set(
            metric_id::credential_age, {},
            std::chrono::duration<double>(*age).count());
    }
    if (std::exchange(was_valid_, is_valid) == is_valid)
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

std::vector<vm_id> confirmation_agent::choose_sources(bool is_late)
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
    const bool is_reader = readers_.own_rank().has_value();
    if (!is_reader && rank >= first_level_nodes)
    {
        sources.push_back(
            order.at((rank - first_level_nodes) / askers_per_node));
    }
    if (is_late || (!is_reader && rank < first_level_nodes))
    {
        add_random(readers_.all());
    }
    if (is_late)
    {
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
        [this, asked_at](const result<heartbeat_message>& answer)
        {
            if (answer && answer->confirmation_age_)
            {
                record(
                    answer->revision_, asked_at - *answer->confirmation_age_);
            }
        });
}

void confirmation_agent::read_platform_if_due(
    std::chrono::nanoseconds unconfirmed_for)
{
    const auto now = context_.time_.boot_now();
    if (unconfirmed_for <= platform_read_age || now < next_read_)
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
