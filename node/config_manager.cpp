#include "node/config_manager.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include "adapters/telemetry/event_log.hpp"
#include "hemlockshelf/config/table_changes.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

namespace {

double seconds(std::chrono::nanoseconds value)
{
    return std::chrono::duration<double>(value).count();
}

// Deltas that change more than one row in two are not kept: a whole snapshot
// serves a peer better, and the log stays small.
constexpr std::size_t rows_per_kept_change = 2;

// A third of the time in which a revision must be in force on every node.
constexpr std::chrono::seconds late_after{1};

accepted_delta
delta_between(const config_snapshot& before, const config_snapshot& after)
{
    const auto& tables = after.tables();
    return {
        {after.number(), changes_between(before.tables(), tables), tables.hash_,
         before.number()},
        {}};
}

config_delta combine_chain(const std::vector<accepted_delta>& chain)
{
    std::vector<config_delta> deltas;
    deltas.reserve(chain.size());
    for (const auto& delta : chain)
    {
        deltas.push_back(delta.delta_);
    }
    return combine(deltas);
}

bool should_keep(const accepted_delta& delta, const config_tables& tables)
{
    const auto rows = tables.routes_.size() + tables.pools_.size();
    return delta.delta_.changes_.size() * rows_per_kept_change <= rows;
}

} // namespace

std::string_view to_string(apply_source source)
{
    switch (source)
    {
    case apply_source::push:
        return "push";
    case apply_source::poll:
        return "poll";
    case apply_source::repair:
        return "repair";
    case apply_source::edit:
        return "edit";
    }
    return "unknown";
}

config_manager::config_manager(
    snapshot_store& snapshots,
    const clock& time,
    metric_sink& metrics,
    std::size_t kept_deltas)
    : snapshots_(snapshots), time_(time), metrics_(metrics),
      kept_deltas_(kept_deltas), started_at_(time.wall_now()),
      applier_(snapshots, time, &metrics), log_(kept_deltas)
{}

result<void> config_manager::apply(
    const std::vector<accepted_delta>& deltas, apply_source source)
{
    const std::lock_guard lock(mutex_);
    bool usable = true;
    for (const auto& delta : deltas)
    {
        usable = enqueue(delta) && usable;
    }
    auto applied = apply_pending(source);
    if (applied && !usable)
    {
        applied = make_error(
            error_kind::revision_gap,
            fmt::format(
                "delta to revision {}: starts before the current revision {}",
                deltas.back().delta_.to_.value(), current_revision().value()));
    }
    // The applier counts its own rejections. Gaps are detected before it is
    // called.
    if (!applied && applied.error().kind_ == error_kind::revision_gap)
    {
        count_rejection(applied.error());
    }
    return applied;
}

// Returns false for a delta that starts before the current revision and ends
// after it. This occurs when two readers of published revisions have skipped
// different ones.
bool config_manager::enqueue(const accepted_delta& delta)
{
    if (delta.delta_.to_ <= current_revision())
    {
        return true;
    }
    if (base_revision(delta.delta_) < current_revision())
    {
        return false;
    }
    pending_.insert_or_assign(
        {delta.delta_.to_, base_revision(delta.delta_)}, delta);
    if (pending_.size() > kept_deltas_)
    {
        pending_.erase(std::prev(pending_.end()));
    }
    return true;
}

std::vector<accepted_delta> config_manager::take_next_pending()
{
    std::erase_if(
        pending_,
        [this](const auto& entry)
        {
            return base_revision(entry.second.delta_) < current_revision();
        });
    std::vector<accepted_delta> chain;
    for (auto base = current_revision();; base = chain.back().delta_.to_)
    {
        const auto next = std::ranges::find_if(
            pending_,
            [base](const auto& entry)
            {
                return base_revision(entry.second.delta_) == base;
            });
        if (next == pending_.end())
        {
            return chain;
        }
        chain.push_back(std::move(next->second));
        pending_.erase(next);
    }
}

result<void> config_manager::apply_chain(
    const std::vector<accepted_delta>& chain, apply_source source)
{
    if (chain.size() > 1 && applier_.apply(combine_chain(chain)))
    {
        for (const auto& delta : chain)
        {
            keep(delta);
        }
        report_applied(source, chain.back().accepted_at_);
        return {};
    }
    // One of them is damaged or invalid. Those before it apply.
    for (const auto& delta : chain)
    {
        auto applied = apply_one(delta, source);
        if (!applied)
        {
            return applied;
        }
    }
    return {};
}

result<void> config_manager::apply_pending(apply_source source)
{
    for (auto chain = take_next_pending(); !chain.empty();
         chain = take_next_pending())
    {
        auto applied = apply_chain(chain, source);
        if (!applied)
        {
            return applied;
        }
    }
    if (pending_.empty())
    {
        return {};
    }
    const auto& first = pending_.begin()->second.delta_;
    return make_error(
        error_kind::revision_gap,
        fmt::format(
            "delta to revision {}: needs base "
            "revision {}, the current revision "
            "is {}",
            first.to_.value(), base_revision(first).value(),
            current_revision().value()));
}

result<void>
config_manager::apply_one(const accepted_delta& delta, apply_source source)
{
    auto applied = applier_.apply(delta.delta_);
    if (!applied)
    {
        return applied;
    }
    keep(delta);
    report_applied(source, delta.accepted_at_);
    return {};
}

void config_manager::keep(const accepted_delta& delta)
{
    log_.append(delta.delta_);
    accepted_at_[delta.delta_.to_] = delta.accepted_at_;
    if (accepted_at_.size() > kept_deltas_)
    {
        accepted_at_.erase(accepted_at_.begin());
    }
}

result<accepted_delta> config_manager::apply_snapshot(
    const std::shared_ptr<const config_snapshot>& snapshot,
    apply_source source,
    wall_time accepted_at)
{
    const std::lock_guard lock(mutex_);
    const auto before = snapshots_.current();
    auto applied = applier_.apply(snapshot);
    if (!applied)
    {
        return tl::unexpected<error>(applied.error());
    }
    auto delta = delta_between(*before, *snapshot);
    delta.accepted_at_ = accepted_at;
    if (should_keep(delta, snapshot->tables()))
    {
        keep(delta);
    }
    else
    {
        log_.reset(snapshot->number());
        accepted_at_.clear();
    }
    report_applied(source, accepted_at);
    // A gap that remains in the queue is not an error of the snapshot.
    static_cast<void>(apply_pending(source));
    return delta;
}

void config_manager::count_rejection(const error& failure) const
{
    metrics_.add(
        metric_id::config_rejections, error_properties_of(failure.kind_).name_);
}

std::shared_ptr<const config_snapshot> config_manager::current() const
{
    return snapshots_.current();
}

revision config_manager::current_revision() const
{
    return snapshots_.current()->number();
}

std::optional<std::vector<accepted_delta>>
config_manager::deltas_after(revision from) const
{
    const std::lock_guard lock(mutex_);
    const auto kept = log_.deltas_after(from, kept_deltas_);
    if (!kept)
    {
        return std::nullopt;
    }
    std::vector<accepted_delta> deltas;
    for (const auto& delta : *kept)
    {
        const auto found = accepted_at_.find(delta->to_);
        deltas.push_back(
            {*delta,
             found == accepted_at_.end() ? wall_time{} : found->second});
    }
    return deltas;
}

void config_manager::report_applied(
    apply_source source, wall_time accepted_at) const
{
    metrics_.add(metric_id::config_applies, to_string(source));
    log_event<log_event_id::revision_applied>(
        log_fields::revision(current_revision()),
        log_fields::source(to_string(source)));
    // Older edits are left out, because a node that has just started catches up
    // with them.
    if (accepted_at < started_at_)
    {
        return;
    }
    const auto age = time_.wall_now() - accepted_at;
    metrics_.observe(
        metric_id::convergence_duration, to_string(source), seconds(age));
    if (age > late_after)
    {
        log_event<log_event_id::revision_late>(
            log_fields::revision(current_revision()),
            log_fields::source(to_string(source)),
            log_fields::age_ms(
                std::chrono::duration_cast<std::chrono::milliseconds>(age)));
    }
}

} // namespace hemlockshelf
