#include "node/heartbeat_agent.hpp"

#include <algorithm>
#include <utility>

#include "adapters/telemetry/event_log.hpp"

namespace hemlockshelf {

heartbeat_agent::heartbeat_agent(
    control_context& context,
    push_agent& pushes,
    repair_agent& repairs,
    contact_tracker& contacts)
    : context_(context), pushes_(pushes), repairs_(repairs), contacts_(contacts)
{}

void heartbeat_agent::send_heartbeats()
{
    update_monitored();
    for (const auto& vm : neighbours_)
    {
        send_heartbeat(vm);
    }
    watch_predecessor();
}

// Sends heartbeats to a silent predecessor until it answers again or is
// confirmed to be down.
void heartbeat_agent::watch_predecessor()
{
    const auto& settings = context_.settings_.membership_;
    const auto limit = settings.heartbeat_interval_ * settings.missed_limit_;
    if (predecessor_ && context_.time_.now() - predecessor_heard_ > limit &&
        std::ranges::find(neighbours_, *predecessor_) == neighbours_.end())
    {
        send_heartbeat(*predecessor_);
    }
}

void heartbeat_agent::update_monitored()
{
    const auto& domain = context_.self_.failure_domain_;
    auto members = context_.members_.members_in_domain(domain);
    // The list is replaced whenever a member of the domain changes.
    if (members == domain_members_)
    {
        return;
    }
    domain_members_ = std::move(members);
    const auto peers = peers_in(context_, domain);
    neighbours_ = choose_neighbours(
        context_.self_.vm_, peers, context_.settings_.membership_.neighbours_);
    auto predecessor = choose_predecessor(context_.self_.vm_, peers);
    if (predecessor != predecessor_)
    {
        predecessor_ = std::move(predecessor);
        predecessor_heard_ = context_.time_.now();
    }
    std::erase_if(
        neighbour_health_,
        [this](const auto& item)
        {
            return item.first != predecessor_ &&
                   std::ranges::find(neighbours_, item.first) ==
                       neighbours_.end();
        });
}

void heartbeat_agent::send_heartbeat(const vm_id& vm)
{
    const auto peer = address_of(context_, vm);
    if (!peer)
    {
        return;
    }
    context_.network_.heartbeat(
        *peer, own_heartbeat(context_),
        context_.settings_.membership_.heartbeat_deadline_,
        [this, vm, peer = *peer](const result<heartbeat_message>& answer)
        {
            if (answer && answer->sender_.vm_ == vm)
            {
                last_contact_ = context_.time_.now();
                on_answer(vm, *answer);
                repairs_.compare_with_peer(peer, *answer);
                return;
            }
            on_missed(vm);
        });
}

void heartbeat_agent::on_answer(
    const vm_id& vm, const heartbeat_message& answer)
{
    auto& health = neighbour_health_[vm];
    if (health.missed_ > 0)
    {
        context_.members_.set_liveness(
            vm, answer.incarnation_, liveness::alive);
    }
    health.missed_ = 0;
    health.rounds_ = 0;
}

void heartbeat_agent::on_missed(const vm_id& vm)
{
    const auto entry = context_.members_.find(vm);
    if (!entry || !may_answer(*entry))
    {
        return;
    }
    const auto limit = context_.settings_.membership_.missed_limit_;
    if (record_missed_heartbeat(neighbour_health_[vm], limit) ==
        detector_action::confirm)
    {
        const auto seen = entry->record_.incarnation_;
        context_.members_.set_liveness(vm, seen, liveness::suspect);
        confirm(vm, seen);
    }
}

void heartbeat_agent::confirm(const vm_id& vm, incarnation seen)
{
    auto round = std::make_shared<confirmation_round>();
    round->target_ = vm;
    round->incarnation_ = seen;
    const auto probers = choose_probers(vm);
    round->answers_.asked_ = probers.size();
    round->outstanding_ = probers.size();
    if (probers.empty())
    {
        finish_confirmation(*round);
        return;
    }
    for (const auto& prober : probers)
    {
        const auto peer = address_of(context_, prober);
        context_.network_.probe(
            peer.value_or(peer_address{}), {context_.self_, vm},
            context_.settings_.membership_.probe_deadline_,
            [this, round](const result<bool>& reachable)
            {
                if (reachable)
                {
                    ++(*reachable ? round->answers_.reachable_
                                  : round->answers_.unreachable_);
                }
                if (--round->outstanding_ == 0)
                {
                    finish_confirmation(*round);
                }
            });
    }
}

std::vector<vm_id> heartbeat_agent::choose_probers(const vm_id& suspect)
{
    const auto wanted = context_.settings_.membership_.confirming_nodes_;
    std::vector<vm_id> chosen;
    const auto add_from = [&](const failure_domain_id& domain)
    {
        auto peers = peers_in(context_, domain);
        std::erase(peers, suspect);
        std::ranges::shuffle(peers, context_.random_);
        for (const auto& vm : peers)
        {
            const auto entry = context_.members_.find(vm);
            if (chosen.size() < wanted && entry &&
                entry->liveness_ == liveness::alive)
            {
                chosen.push_back(vm);
            }
        }
    };
    const auto& own = context_.self_.failure_domain_;
    add_from(own);
    // Members of a small failure domain may have failed together, so nodes of
    // other failure domains make up the number.
    for (const auto& [domain, region] : context_.members_.domains())
    {
        if (domain != own && chosen.size() < wanted)
        {
            add_from(domain);
        }
    }
    return chosen;
}

void heartbeat_agent::finish_confirmation(const confirmation_round& result)
{
    const auto found = neighbour_health_.find(result.target_);
    if (found == neighbour_health_.end())
    {
        return;
    }
    switch (evaluate_confirmation(found->second, result.answers_))
    {
    case suspicion_verdict::inconclusive:
        break;
    case suspicion_verdict::alive:
        context_.members_.set_liveness(
            result.target_, result.incarnation_, liveness::alive);
        break;
    case suspicion_verdict::down:
        report_down(result.target_, result.incarnation_);
        break;
    }
}

void heartbeat_agent::report_down(const vm_id& vm, incarnation seen)
{
    if (!context_.members_.set_liveness(vm, seen, liveness::down))
    {
        return;
    }
    log_event<log_event_id::member_down>(
        log_fields::peer(vm), log_fields::incarnation(seen));
    if (const auto entry = context_.members_.find(vm))
    {
        pushes_.push_records({to_update(*entry)});
    }
}

heartbeat_message
heartbeat_agent::on_heartbeat(const heartbeat_message& request)
{
    contacts_.record_contact(request.sender_, true);
    last_contact_ = context_.time_.now();
    if (const auto peer = address_of(context_, request.sender_.vm_))
    {
        repairs_.compare_revision(*peer, request.revision_);
    }
    else
    {
        repairs_.record_revision(request.revision_);
    }
    if (request.sender_.vm_ == predecessor_)
    {
        predecessor_heard_ = context_.time_.now();
    }
    const auto entry = context_.members_.find(request.sender_.vm_);
    if (entry && entry->liveness_ == liveness::down &&
        entry->record_.incarnation_ == request.incarnation_)
    {
        // The sender is alive; it needs the update that declares it down in
        // order to refute it.
        if (const auto peer = address_of(context_, entry->record_))
        {
            pushes_.send_records(*peer, {to_update(*entry)});
        }
    }
    auto answer = own_heartbeat(context_);
    if (request.joining_ && entry)
    {
        answer.acknowledged_ = entry->record_.acknowledged_;
    }
    return answer;
}

void heartbeat_agent::on_probe(
    const probe_request& request, std::function<void(bool)> answer)
{
    const auto peer = address_of(context_, request.target_);
    if (!peer)
    {
        answer(false);
        return;
    }
    context_.network_.heartbeat(
        *peer, own_heartbeat(context_),
        context_.settings_.membership_.heartbeat_deadline_,
        [target = request.target_,
         answer = std::move(answer)](const result<heartbeat_message>& reply)
        {
            answer(reply && reply->sender_.vm_ == target);
        });
}

void heartbeat_agent::reset()
{
    neighbour_health_.clear();
    predecessor_heard_ = context_.time_.now();
    last_contact_ = context_.time_.now();
}

} // namespace hemlockshelf
