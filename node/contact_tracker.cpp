#include "node/contact_tracker.hpp"

#include "adapters/telemetry/event_log.hpp"

namespace hemlockshelf {

contact_tracker::contact_tracker(control_context& context)
    : context_(context),
      domains_(context.settings_.membership_.unreachable_after_)
{}

void contact_tracker::note(const tree_member& peer, bool reached)
{
    const auto& domain = peer.failure_domain_;
    if (domain == context_.self_.failure_domain_ ||
        !domains_.record_contact(domain, reached))
    {
        return;
    }
    if (reached)
    {
        log_event<log_event_id::failure_domain_reachable>(
            log_fields::peer_failure_domain(domain));
        mark(domain, liveness::unreachable, liveness::alive);
    }
    else
    {
        log_event<log_event_id::failure_domain_unreachable>(
            log_fields::peer_failure_domain(domain));
        mark(domain, liveness::alive, liveness::unreachable);
    }
}

bool contact_tracker::is_reachable(const failure_domain_id& domain) const
{
    return domains_.is_reachable(domain);
}

void contact_tracker::reset()
{
    domains_.reset();
    for (const auto& [domain, region] : context_.members_.domains())
    {
        mark(domain, liveness::unreachable, liveness::alive);
    }
}

void contact_tracker::mark(
    const failure_domain_id& domain, liveness from, liveness to)
{
    const auto members = context_.members_.members_in_domain(domain);
    for (const auto& entry : *members)
    {
        if (entry->liveness_ == from)
        {
            context_.members_.set_liveness(
                entry->record_.vm_, entry->record_.incarnation_, to);
        }
    }
}

} // namespace hemlockshelf
