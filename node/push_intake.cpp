#include "node/push_intake.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "adapters/telemetry/event_log.hpp"
#include "node/reader_duty.hpp"

namespace hemlockshelf {

namespace {

// Readers wait this long for the accepting node's push before they push a
// revision that they polled.
constexpr std::chrono::milliseconds polled_push_delay{150};

// Other failure domains read the platform themselves; they are offered a
// revision when their own readers have had the time to push it.
constexpr std::chrono::milliseconds offer_delay{250};

void log_malformed(
    const push_message& request,
    const result<std::vector<accepted_delta>>& deltas)
{
    const auto failure =
        deltas ? error{error_kind::bad_request, "expected deltas, given none"}
               : deltas.error();
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

push_intake::push_intake(
    control_context& context, push_agent& pushes, repair_agent& repairs)
    : context_(context), pushes_(pushes), repairs_(repairs)
{}

void push_intake::take(const push_message& request)
{
    const auto deltas = decode_deltas(request.deltas_);
    if (!deltas || deltas->empty())
    {
        log_malformed(request, deltas);
        return;
    }
    repairs_.note_revision(request.revision_);
    note(request.revision_);
    const auto applied = context_.keeper_.apply(*deltas, apply_source::push);
    if (applied)
    {
        return;
    }
    log_rejected(request, applied.error());
    const auto sender = address_of(context_, request.sender_.vm_);
    if (!sender)
    {
        return;
    }
    // The sender passes a push on although it may lack the same revision.
    repairs_.fetch_from(
        *sender,
        [this, wanted = request.revision_, origin = request.origin_](bool)
        {
            const auto first = address_of(context_, origin);
            if (first && context_.keeper_.held() < wanted)
            {
                repairs_.fetch_from(*first, [](bool) {});
            }
        });
}

void push_intake::push_accepted(const std::vector<accepted_delta>& deltas)
{
    repairs_.note_revision(deltas.back().delta_.to_);
    note(deltas.back().delta_.to_);
    pushes_.push_deltas(deltas, push_scope::global);
}

void push_intake::push_polled(const std::vector<accepted_delta>& deltas)
{
    push_later(deltas, polled_push_delay);
}

void push_intake::push_published(const std::vector<accepted_delta>& deltas)
{
    const auto delay = push_delay(reader_place(
        context_, context_.settings_.dissemination_.readers_per_domain_));
    if (delay.count() == 0)
    {
        push_unless_noted(deltas);
    }
    else
    {
        push_later(deltas, delay);
    }
    offer_soon(deltas, delay + offer_delay);
}

void push_intake::offer_soon(
    const std::vector<accepted_delta>& deltas, std::chrono::milliseconds delay)
{
    const bool waits = !offered_next_.empty();
    offered_next_ = deltas;
    if (waits)
    {
        return;
    }
    context_.network_.after(
        delay,
        [this]
        {
            pushes_.offer_deltas(std::exchange(offered_next_, {}));
        });
}

void push_intake::push_later(
    const std::vector<accepted_delta>& deltas, std::chrono::milliseconds delay)
{
    context_.network_.after(
        delay,
        [this, deltas]
        {
            push_unless_noted(deltas);
        });
}

void push_intake::push_unless_noted(const std::vector<accepted_delta>& deltas)
{
    if (deltas.back().delta_.to_ > last_pushed_)
    {
        note(deltas.back().delta_.to_);
        pushes_.push_deltas(deltas, push_scope::domain);
    }
}

void push_intake::note(revision number)
{
    last_pushed_ = std::max(last_pushed_, number);
}

} // namespace hemlockshelf
