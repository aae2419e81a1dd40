#include "node/push_agent.hpp"

#include <algorithm>
#include <utility>

#include "adapters/telemetry/event_log.hpp"

namespace hemlockshelf {

namespace {

constexpr std::size_t max_recent_duties = 256;
// A receiver that lacks more fetches it. The message is forwarded to all nodes
// of the receiver's failure domain, most of which lack fewer.
constexpr std::size_t max_added_deltas = 32;

} // namespace

push_agent::push_agent(control_context& context, contact_tracker& contacts)
    : context_(context), contacts_(contacts)
{}

void push_agent::push_deltas(
    const std::vector<accepted_delta>& deltas, push_scope scope)
{
    if (!deltas.empty())
    {
        forward(make_push(deltas, scope));
    }
}

void push_agent::publish_deltas(const std::vector<accepted_delta>& deltas)
{
    if (!deltas.empty())
    {
        forward(make_push(deltas, push_scope::global), true);
    }
}

push_message push_agent::make_push(
    const std::vector<accepted_delta>& deltas, push_scope scope) const
{
    push_message message;
    message.origin_ = context_.self_.vm_;
    message.duty_ = start_push(
        scope, context_.self_.vm_,
        make_push_seed(context_.random_(), delta_push_orders));
    message.revision_ = deltas.back().delta_.to_;
    message.deltas_ = encode_deltas(deltas);
    return message;
}

void push_agent::push_records(std::vector<member_update> records)
{
    if (records.empty())
    {
        return;
    }
    const bool is_first = batch_.empty();
    std::ranges::move(records, std::back_inserter(batch_));
    if (is_first)
    {
        context_.network_.after(
            context_.settings_.dissemination_.record_batch_delay_,
            [this]
            {
                flush_records();
            });
    }
}

void push_agent::flush_records()
{
    push_message message;
    message.origin_ = context_.self_.vm_;
    message.duty_ = start_push(
        push_scope::global, context_.self_.vm_,
        make_push_seed(context_.random_(), record_push_orders));
    message.records_ = std::exchange(batch_, {});
    forward(std::move(message));
}

void push_agent::send_records(
    const peer_address& peer,
    std::vector<member_update> records,
    completion_handler done)
{
    push_message message;
    message.sender_ = context_.self_;
    message.origin_ = context_.self_.vm_;
    message.duty_ = {push_scope::domain, context_.random_(), {}};
    message.records_ = std::move(records);
    context_.network_.push(
        peer, message,
        context_.settings_.dissemination_.cross_domain_push_deadline_,
        [done = std::move(done)](const result<revision>& answer)
        {
            if (done)
            {
                done(answer.has_value());
            }
        });
}

void push_agent::forward(push_message message)
{
    const bool offers = context_.settings_.dissemination_.offer_first_ &&
                        !message.deltas_.empty();
    forward(std::move(message), offers);
}

void push_agent::forward(push_message message, bool offer_to_other_domains)
{
    if (is_duplicate(message.duty_))
    {
        return;
    }
    message.sender_ = context_.self_;
    send_to_targets(
        message,
        plan_push(
            message.duty_, context_.self_,
            members_in_scope(message.duty_.scope_),
            context_.settings_.dissemination_.domain_fanout_),
        offer_to_other_domains);
}

void push_agent::send_to_targets(
    const push_message& message,
    std::vector<push_target> targets,
    bool offer_to_other_domains)
{
    for (auto& target : targets)
    {
        auto task = std::make_shared<push_task>();
        task->message_ = message;
        task->offer_ = offer_to_other_domains && !is_local(target);
        task->target_ = std::move(target);
        send(task);
    }
}

bool push_agent::is_duplicate(const push_assignment& duty)
{
    const bool repeated = std::ranges::any_of(
        recent_duties_,
        [&duty](const push_assignment& recent)
        {
            return covers(recent, duty);
        });
    if (!repeated)
    {
        recent_duties_.push_back(duty);
    }
    if (recent_duties_.size() > max_recent_duties)
    {
        recent_duties_.pop_front();
    }
    return repeated;
}

std::vector<tree_member> push_agent::members_in_scope(push_scope scope) const
{
    std::vector<tree_member> view;
    const auto add = [&](const failure_domain_id& domain)
    {
        const auto members = context_.members_.members_in_domain(domain);
        for (const auto& entry : *members)
        {
            if (may_answer(*entry) && entry->liveness_ != liveness::unreachable)
            {
                view.push_back(to_tree_member(entry->record_));
            }
        }
    };
    if (scope == push_scope::domain)
    {
        add(context_.self_.failure_domain_);
        return view;
    }
    for (const auto& [domain, region] : context_.members_.domains())
    {
        if (scope == push_scope::global || region == context_.self_.region_)
        {
            add(domain);
        }
    }
    return view;
}

void push_agent::send(const std::shared_ptr<push_task>& task)
{
    if (task->candidate_ >= attempts_for(task->target_))
    {
        log_event<log_event_id::push_unanswered>(
            log_fields::peer_region(task->target_.region_),
            log_fields::peer_failure_domain(task->target_.failure_domain_));
        return;
    }
    const auto& vm = task->target_.candidates_.at(task->candidate_);
    const auto peer = address_of(context_, vm);
    if (!peer)
    {
        ++task->candidate_;
        send(task);
        return;
    }
    auto message = task->message_;
    message.duty_ =
        assignment_for(task->target_, task->candidate_, message.duty_.seed_);
    if (task->offer_)
    {
        message.deltas_.clear();
        message.records_.clear();
    }
    const auto& settings = context_.settings_.dissemination_;
    context_.network_.push(
        *peer, message,
        is_local(task->target_) ? settings.domain_push_deadline_
                                : settings.cross_domain_push_deadline_,
        [this, task](const result<revision>& answer)
        {
            on_answer(task, answer);
        });
}

void push_agent::on_answer(
    const std::shared_ptr<push_task>& task, const result<revision>& answer)
{
    const auto& vm = task->target_.candidates_.at(task->candidate_);
    if (const auto entry = context_.members_.find(vm))
    {
        contacts_.record_contact(
            to_tree_member(entry->record_), answer.has_value());
    }
    if (!answer)
    {
        ++task->candidate_;
        send(task);
        return;
    }
    if (std::exchange(task->offer_, false) &&
        *answer < task->message_.revision_)
    {
        add_missing_deltas(task->message_, *answer);
        send(task);
    }
}

// The receiver of an offer has said which revision it has. With the deltas from
// there on it need not fetch what precedes the offered one.
void push_agent::add_missing_deltas(push_message& message, revision held) const
{
    const auto deltas = context_.config_.deltas_after(held);
    if (deltas && !deltas->empty() && deltas->size() <= max_added_deltas &&
        deltas->back().delta_.to_ >= message.revision_)
    {
        message.revision_ = deltas->back().delta_.to_;
        message.deltas_ = encode_deltas(*deltas);
    }
}

std::size_t push_agent::attempts_for(const push_target& target) const
{
    const auto& settings = context_.settings_.dissemination_;
    const auto limit = is_local(target) ? settings.takeover_attempts_
                                        : settings.bridge_attempts_;
    return std::min(limit, target.candidates_.size());
}

bool push_agent::is_local(const push_target& target) const
{
    return target.failure_domain_ == context_.self_.failure_domain_;
}

} // namespace hemlockshelf
