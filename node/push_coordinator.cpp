#include "node/push_coordinator.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "adapters/telemetry/event_log.hpp"
#include "node/poll_policy.hpp"

namespace hemlockshelf {

namespace {

// Readers wait this long for the accepting node's push before they push a
// revision that they polled.
constexpr std::chrono::milliseconds polled_push_delay{150};

// Longest wait of a push for what is missing before its deltas. It is forwarded
// afterwards, so that the receivers can fetch from this node: all at once, they
// would fetch from the origin, which serves a limited number of snapshots. The
// wait is bounded, because other receivers may lack nothing. It covers one
// refusal by a sender that serves its other children first, which delays a
// fetch by up to 560 ms.
constexpr std::chrono::milliseconds max_forward_delay{1000};

void report_malformed(
    const push_message& request,
    const result<std::vector<accepted_delta>>& deltas,
    const config_manager& config)
{
    const auto failure =
        deltas ? error{error_kind::bad_request, "expected deltas, given none"}
               : deltas.error();
    config.count_rejection(failure);
    log_event<log_event_id::push_malformed>(
        log_fields::peer(request.sender_.vm_),
        log_fields::origin(request.origin_),
        log_fields::error_kind(failure.kind_),
        log_fields::detail(failure.message_));
}

void log_rejected(const push_message& request, const error& failure)
{
    log_event<log_event_id::push_rejected>(
        log_fields::peer(request.sender_.vm_),
        log_fields::origin(request.origin_),
        log_fields::revision(request.revision_),
        log_fields::error_kind(failure.kind_),
        log_fields::detail(failure.message_));
}

} // namespace

push_coordinator::push_coordinator(
    control_context& context, push_agent& pushes, repair_agent& repairs)
    : context_(context), pushes_(pushes), repairs_(repairs)
{}

void push_coordinator::apply_push(
    const push_message& request, std::function<void()> done)
{
    // The same push can come from several senders. Decoding a large one costs
    // more than applying it.
    if (request.revision_ <= context_.config_.current_revision())
    {
        record_pushed(request.revision_);
        done();
        return;
    }
    const auto deltas = decode_deltas(request.deltas_);
    if (!deltas || deltas->empty())
    {
        report_malformed(request, deltas, context_.config_);
        done();
        return;
    }
    repairs_.record_revision(request.revision_);
    record_pushed(request.revision_);
    const auto applied = context_.config_.apply(*deltas, apply_source::push);
    if (applied)
    {
        done();
        return;
    }
    log_rejected(request, applied.error());
    fetch_missing(
        request, call_once_within(max_forward_delay, std::move(done)));
}

void push_coordinator::fetch_missing(
    const push_message& request, const std::function<void()>& done)
{
    const auto sender = address_of(context_, request.sender_.vm_);
    if (!sender)
    {
        done();
        return;
    }
    // The sender forwards a push that it cannot apply after a time, so the
    // origin is queried next.
    repairs_.fetch_from(
        *sender,
        [this, done, wanted = request.revision_, origin = request.origin_](bool)
        {
            const auto first = address_of(context_, origin);
            if (first && context_.config_.current_revision() < wanted)
            {
                repairs_.fetch_from(
                    *first,
                    [done](bool)
                    {
                        done();
                    });
                return;
            }
            done();
        });
}

std::function<void()> push_coordinator::call_once_within(
    std::chrono::milliseconds limit, std::function<void()> task)
{
    auto once =
        [pending = std::make_shared<std::function<void()>>(std::move(task))]
    {
        if (const auto call = std::exchange(*pending, nullptr))
        {
            call();
        }
    };
    context_.network_.after(limit, once);
    return once;
}

void push_coordinator::push_accepted(const std::vector<accepted_delta>& deltas)
{
    repairs_.record_revision(deltas.back().delta_.to_);
    record_pushed(deltas.back().delta_.to_);
    pushes_.push_deltas(deltas, push_scope::global);
}

void push_coordinator::push_polled(const std::vector<accepted_delta>& deltas)
{
    push_after(deltas, push_scope::domain, polled_push_delay);
}

void push_coordinator::push_published(
    const std::vector<accepted_delta>& deltas, std::optional<std::size_t> rank)
{
    const auto delay = push_delay(rank);
    if (delay.count() == 0)
    {
        push_if_newer(deltas, push_scope::global);
    }
    else
    {
        push_after(deltas, push_scope::global, delay);
    }
}

void push_coordinator::push_after(
    const std::vector<accepted_delta>& deltas,
    push_scope scope,
    std::chrono::milliseconds delay)
{
    context_.network_.after(
        delay,
        [this, deltas, scope]
        {
            push_if_newer(deltas, scope);
        });
}

void push_coordinator::push_if_newer(
    const std::vector<accepted_delta>& deltas, push_scope scope)
{
    if (deltas.back().delta_.to_ <= last_pushed_)
    {
        return;
    }
    record_pushed(deltas.back().delta_.to_);
    if (scope == push_scope::global)
    {
        pushes_.publish_deltas(deltas);
    }
    else
    {
        pushes_.push_deltas(deltas, scope);
    }
}

void push_coordinator::record_pushed(revision number)
{
    last_pushed_ = std::max(last_pushed_, number);
}

} // namespace hemlockshelf
