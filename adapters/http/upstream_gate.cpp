#include "adapters/http/upstream_gate.hpp"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

#include "hemlockshelf/config/traffic_class.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

namespace {

// The gate applies a drain or a changed capacity within this time even if no
// call arrives. It is shorter than the time after which a body can be overdue,
// so that the owner schedules a refresh before a body becomes overdue.
constexpr std::chrono::milliseconds max_refresh_interval{200};

// Limits the processor time of refreshes if work that is due can't proceed, for
// example because a call with precedence has to be served first.
constexpr std::chrono::milliseconds min_refresh_interval{5};

// A connection remembers the requests that were refused on it. One with more
// refusals is replaced, which bounds its memory.
constexpr std::size_t max_refusals = 64;

/// Whether two announcements are the same to the gate.
bool same_capacity(
    const upstream_announcement& left, const upstream_announcement& right)
{
    return left.address_ == right.address_ && left.slots_ == right.slots_ &&
           left.connections_ == right.connections_ &&
           left.draining_ == right.draining_ &&
           left.service_ == right.service_ &&
           same_start(left.order_, right.order_);
}

} // namespace

upstream_gate::upstream_gate(
    const call_settings& settings,
    const gate_settings& limits,
    const clock& time,
    std::function<std::optional<upstream_announcement>()> upstream,
    metric_sink& metrics)
    : settings_(settings), time_(time), upstream_(std::move(upstream)),
      metrics_(metrics), new_connection_rate_(limits.new_connections_),
      link_rate_known_(limits.link_.value() > 0), state_(limits),
      idempotency_records_(limits)
{}

admission_result
upstream_gate::offer(const gate_call& call, decision_handler decided)
{
    const auto now = time_.now();
    decision_list decisions;
    admission_result answer;
    {
        const std::lock_guard lock(mutex_);
        update_upstream(now, decisions);
        if (serves(call.service_))
        {
            answer = offer_call(state_, call, now);
        }
        else
        {
            answer.reason_ = refusal_reason::other_service;
        }
        if (answer.admission_ == admission::queued)
        {
            queued_handlers_.emplace(answer.id_, std::move(decided));
        }
        collect_decisions(answer.events_, decisions);
        report_gauges();
    }
    notify(decisions);
    return answer;
}

void upstream_gate::receive_part(gate_call_id id, byte_count bytes)
{
    if (!link_rate_known_)
    {
        return;
    }
    decision_list decided;
    {
        const std::lock_guard lock(mutex_);
        collect_decisions(
            hemlockshelf::record_body_progress(state_, id, bytes, time_.now()),
            decided);
        report_gauges();
    }
    notify(decided);
}

std::uint32_t upstream_gate::receive_body(gate_call_id id, byte_count bytes)
{
    std::uint32_t bodies = 0;
    decision_list decided;
    {
        const std::lock_guard lock(mutex_);
        bodies = state_.long_bodies_;
        collect_decisions(
            hemlockshelf::record_body_arrival(state_, id, bytes, time_.now()),
            decided);
        report_gauges();
    }
    notify(decided);
    return bodies;
}

void upstream_gate::release_slot(gate_call_id id)
{
    decision_list decided;
    {
        const std::lock_guard lock(mutex_);
        if (const auto events = release_call(state_, id, time_.now()))
        {
            collect_decisions(*events, decided);
        }
        report_gauges();
    }
    notify(decided);
}

void upstream_gate::withdraw(gate_call_id id)
{
    {
        const std::lock_guard lock(mutex_);
        queued_handlers_.erase(id);
        if (cancel_waiting(state_, id))
        {
            return;
        }
    }
    release_slot(id);
}

result<upstream_gate::connection_offer> upstream_gate::take_connection(
    const service_name& service, const boost::asio::any_io_executor& executor)
{
    const auto now = time_.now();
    const std::lock_guard lock(mutex_);
    if (address_.address_.empty())
    {
        return make_error(
            error_kind::no_upstream, "gate: no upstream is announced");
    }
    // The upstream may have been replaced while the call waited.
    if (!serves(service))
    {
        return make_error(
            error_kind::no_upstream,
            fmt::format(
                "gate: expected a call for service \"{}\", given \"{}\"",
                applied_->service_.value(), service.value()));
    }
    count_closed_idle(idle_.close_aged(now, settings_.pool_idle_age_));
    while (true)
    {
        const auto decided = hemlockshelf::acquire_connection(
            ledger_, new_connection_rate_, now);
        switch (decided.grant_)
        {
        case connection_action::reuse:
            if (auto connection = idle_.take(executor))
            {
                return connection_offer{
                    connection_lease(
                        *this, address_, std::move(connection), true),
                    now};
            }
            release_connection(ledger_, false);
            break;
        case connection_action::open:
            return connection_offer{
                connection_lease(
                    *this, address_, make_connection(executor, settings_),
                    false),
                now};
        case connection_action::wait:
            return connection_offer{std::nullopt, decided.retry_at_};
        case connection_action::exhausted:
            return make_error(
                error_kind::overloaded,
                "gate: every connection to the upstream is in use");
        }
    }
}

void upstream_gate::release(
    const endpoint& peer,
    std::unique_ptr<http_connection> connection,
    steady_time now)
{
    const std::lock_guard lock(mutex_);
    const bool reusable = connection != nullptr && peer == address_ &&
                          connection->refusals() < max_refusals &&
                          connection->probe() == connection_readiness::idle;
    if (release_connection(ledger_, reusable))
    {
        count_closed_idle(
            idle_.put(std::move(connection), now, settings_.pool_idle_limit_));
    }
}

idempotency_status upstream_gate::begin_request(
    const client_account_id& account, const idempotency_id& id)
{
    const std::lock_guard lock(mutex_);
    return idempotency_records_.begin(account, id, time_.now());
}

void upstream_gate::abandon_request(const idempotency_id& id)
{
    const std::lock_guard lock(mutex_);
    idempotency_records_.abandon(id);
}

void upstream_gate::finish_request(const idempotency_id& id)
{
    const std::lock_guard lock(mutex_);
    idempotency_records_.finish(id, time_.now());
}

void upstream_gate::begin_shutdown()
{
    decision_list decided;
    {
        const std::lock_guard lock(mutex_);
        shutting_down_ = true;
        collect_decisions(begin_drain(state_), decided);
        report_gauges();
    }
    notify(decided);
}

void upstream_gate::refresh()
{
    const auto now = time_.now();
    decision_list decided;
    {
        const std::lock_guard lock(mutex_);
        update_upstream(now, decided);
        collect_decisions(expire_waiting(state_, now), decided);
        count_closed_idle(idle_.close_aged(now, settings_.pool_idle_age_));
        report_gauges();
    }
    notify(decided);
}

steady_time upstream_gate::next_refresh() const
{
    const auto now = time_.now();
    const std::lock_guard lock(mutex_);
    const auto latest = now + max_refresh_interval;
    return std::clamp(
        next_expiry(state_).value_or(latest), now + min_refresh_interval,
        latest);
}

void upstream_gate::close_idle()
{
    const std::lock_guard lock(mutex_);
    count_closed_idle(idle_.close_all());
}

std::uint32_t upstream_gate::free_slots() const
{
    const std::lock_guard lock(mutex_);
    return hemlockshelf::free_slots(state_);
}

std::string upstream_gate::instance() const
{
    const std::lock_guard lock(mutex_);
    return applied_ ? applied_->order_.instance_ : std::string{};
}

std::uint32_t upstream_gate::open_connections() const
{
    const std::lock_guard lock(mutex_);
    return ledger_.in_use_ + ledger_.idle_;
}

bool upstream_gate::serves(const service_name& service) const
{
    return service.value().empty() || !applied_ ||
           applied_->service_ == service;
}

void upstream_gate::update_upstream(steady_time now, decision_list& decided)
{
    auto announced = upstream_();
    if (announced.has_value() == applied_.has_value() &&
        (!announced || same_capacity(*announced, *applied_)))
    {
        return;
    }
    applied_ = std::move(announced);
    if (applied_)
    {
        apply_announcement(*applied_, now, decided);
        return;
    }
    address_ = {};
    count_closed_idle(idle_.close_all());
    collect_decisions(set_capacity(state_, {}, {}, now), decided);
}

void upstream_gate::apply_announcement(
    const upstream_announcement& announcement,
    steady_time now,
    decision_list& decided)
{
    const auto address = parse_endpoint(announcement.address_);
    if (!address || *address != address_ ||
        !same_start(announcement.order_, upstream_start_))
    {
        upstream_start_ = announcement.order_;
        count_closed_idle(idle_.close_all());
        address_ = address ? *address : endpoint{};
    }
    ledger_.limit_ = announcement.connections_;
    close_surplus_connections();
    collect_decisions(
        set_capacity(
            state_, address ? announcement.slots_ : slot_count{},
            announcement.connections_, now),
        decided);
    if (announcement.draining_)
    {
        collect_decisions(begin_drain(state_), decided);
    }
    else if (!shutting_down_)
    {
        end_drain(state_);
    }
}

void upstream_gate::collect_decisions(
    const gate_events& events, decision_list& decided)
{
    const auto decide = [&](gate_call_id id, auto reason)
    {
        const auto found = queued_handlers_.find(id);
        if (found != queued_handlers_.end())
        {
            decided.emplace_back(std::move(found->second), reason);
            queued_handlers_.erase(found);
        }
    };
    for (const auto id : events.started_)
    {
        decide(id, std::optional<refusal_reason>{});
    }
    for (const auto& refused : events.refused_)
    {
        decide(refused.id_, std::optional(refused.reason_));
    }
}

void upstream_gate::close_surplus_connections()
{
    if (surplus_connections(ledger_) > 0)
    {
        count_closed_idle(idle_.close_all());
    }
}

void upstream_gate::count_closed_idle(std::size_t count)
{
    for (std::size_t dropped = 0; dropped < count; ++dropped)
    {
        drop_idle_connection(ledger_);
    }
}

void upstream_gate::report_gauges()
{
    metrics_.set(
        metric_id::gate_slots_used, {},
        static_cast<double>(state_.running_.size()));
    metrics_.set(
        metric_id::gate_queue_length, {},
        static_cast<double>(state_.queue_.size()));
    if (state_.long_bodies_ != reported_long_bodies_)
    {
        reported_long_bodies_ = state_.long_bodies_;
        metrics_.set(
            metric_id::gate_bodies, {},
            static_cast<double>(reported_long_bodies_));
    }
}

void upstream_gate::notify(decision_list& decided)
{
    for (auto& [handler, reason] : decided)
    {
        handler(reason);
    }
}

} // namespace hemlockshelf
