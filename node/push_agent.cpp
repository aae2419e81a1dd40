#include "node/push_agent.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "adapters/telemetry/event_log.hpp"

namespace hemlockshelf {

namespace {

constexpr std::size_t max_recent_duties = 256;
// A receiver that lacks more fetches it. The message is forwarded to all nodes
// of the receiver's failure domain, most of which lack fewer.
constexpr std::size_t max_added_deltas = 32;
// Candidates that are tried for member records, one after the other. Digests
// find records that were not pushed.
constexpr std::size_t record_attempts = 4;

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
            members_in_scope(message.duty_.scope_, !message.deltas_.empty()),
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
        ask_next(task);
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

std::vector<tree_member>
push_agent::members_in_scope(push_scope scope, bool include_unreachable) const
{
    std::vector<tree_member> view;
    std::vector<tree_member> unreachable;
    std::set<region_id> reachable_regions;
    const auto add = [&](const failure_domain_id& domain)
    {
        const auto members = context_.members_.members_in_domain(domain);
        for (const auto& entry : *members)
        {
            if (!may_answer(*entry))
            {
                continue;
            }
            const bool reachable = entry->liveness_ != liveness::unreachable;
            auto member = to_tree_member(entry->record_);
            if (reachable)
            {
                reachable_regions.insert(member.region_);
            }
            (reachable ? view : unreachable).push_back(std::move(member));
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
    // Each failure domain of the own region is asked by itself, another region
    // by any of its members.
    for (auto& member : unreachable)
    {
        if (include_unreachable &&
            (member.region_ == context_.self_.region_ ||
             !reachable_regions.contains(member.region_)))
        {
            view.push_back(std::move(member));
        }
    }
    return view;
}

void push_agent::ask_next(const push_task_pointer& task)
{
    while (task->next_ < attempts_for(*task))
    {
        const auto candidate = task->next_++;
        if (!address_of(context_, task->target_.candidates_.at(candidate)))
        {
            continue;
        }
        auto message = task->message_;
        // The candidates before may have received the message although they
        // have not answered, so the later ones are asked what they hold.
        if (task->offer_ || (candidate > 0 && is_hedged(*task)))
        {
            message.deltas_.clear();
            message.records_.clear();
        }
        send(task, candidate, std::move(message));
        return;
    }
    if (task->outstanding_ == 0)
    {
        task->ended_ = true;
        log_event<log_event_id::push_unanswered>(
            log_fields::peer_region(task->target_.region_),
            log_fields::peer_failure_domain(task->target_.failure_domain_),
            log_fields::revision(task->message_.revision_),
            log_fields::records(task->message_.records_.size()),
            log_fields::loop_delay_ms(recent_loop_delay(context_)));
    }
}

void push_agent::send(
    const push_task_pointer& task, std::size_t candidate, push_message message)
{
    const auto& settings = context_.settings_.dissemination_;
    const auto peer =
        address_of(context_, task->target_.candidates_.at(candidate));
    const bool is_offer = message.deltas_.empty() && message.records_.empty();
    message.duty_ =
        assignment_for(task->target_, candidate, message.duty_.seed_);
    ++task->outstanding_;
    context_.network_.push(
        peer.value_or(peer_address{}), message, deadline_for(*task),
        [this, task, candidate, is_offer](const result<revision>& answer)
        {
            on_answer(task, candidate, is_offer, answer);
        });
    if (is_hedged(*task))
    {
        context_.network_.after(
            settings.push_hedge_delay_,
            [this, task, next = task->next_]
            {
                if (!task->ended_ && task->next_ == next)
                {
                    ask_next(task);
                }
            });
    }
}

// Member records may be late, and a node whose own loop is late has no reason
// to hold its peers to be silent: sending their part of the tree to others as
// well would add to the messages that all of them wait for.
std::chrono::milliseconds push_agent::deadline_for(const push_task& task) const
{
    const auto& settings = context_.settings_.dissemination_;
    const auto deadline = is_local(task.target_)
                              ? settings.domain_push_deadline_
                              : settings.cross_domain_push_deadline_;
    return task.message_.deltas_.empty()
               ? deadline + recent_loop_delay(context_)
               : deadline;
}

void push_agent::on_answer(
    const push_task_pointer& task,
    std::size_t candidate,
    bool was_offer,
    const result<revision>& answer)
{
    --task->outstanding_;
    // Members that failed beside one that answered do not make their failure
    // domain unreachable.
    const auto entry =
        context_.members_.find(task->target_.candidates_.at(candidate));
    if (entry && (answer || !task->ended_))
    {
        contacts_.record_contact(
            to_tree_member(entry->record_), answer.has_value());
    }
    if (task->ended_)
    {
        return;
    }
    if (!answer)
    {
        if (!was_offer && task->receiver_ == candidate)
        {
            task->receiver_.reset();
        }
        on_failure(task);
    }
    else if (was_offer && *answer < task->message_.revision_)
    {
        on_offer_answer(task, {candidate, *answer});
    }
    else
    {
        task->ended_ = true;
    }
}

void push_agent::on_failure(const push_task_pointer& task)
{
    if (task->fallback_ && !task->receiver_)
    {
        deliver(task, *std::exchange(task->fallback_, std::nullopt));
    }
    // Otherwise the timers of those that are outstanding ask the next one.
    else if (task->outstanding_ == 0)
    {
        ask_next(task);
    }
}

void push_agent::on_offer_answer(
    const push_task_pointer& task, const offer_answer& answer)
{
    if (task->receiver_)
    {
        task->fallback_ = answer;
    }
    else
    {
        deliver(task, answer);
    }
}

void push_agent::deliver(
    const push_task_pointer& task, const offer_answer& answer)
{
    task->receiver_ = answer.candidate_;
    auto message = task->message_;
    add_missing_deltas(message, answer.held_);
    send(task, answer.candidate_, std::move(message));
}

bool push_agent::is_hedged(const push_task& task) const
{
    return !is_local(task.target_) && !task.message_.deltas_.empty();
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

std::size_t push_agent::attempts_for(const push_task& task) const
{
    const auto& settings = context_.settings_.dissemination_;
    const auto limit =
        is_local(task.target_) ? settings.takeover_attempts_
        : is_hedged(task)
            ? settings.bridge_attempts_
            : std::min(settings.bridge_attempts_, record_attempts);
    return std::min(limit, task.target_.candidates_.size());
}

bool push_agent::is_local(const push_target& target) const
{
    return target.failure_domain_ == context_.self_.failure_domain_;
}

} // namespace hemlockshelf
