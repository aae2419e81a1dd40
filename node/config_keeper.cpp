#include "node/config_keeper.hpp"

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

// A peer that lacks a larger part of the rows is better served with a whole
// snapshot, and the log is spared as many rows.
constexpr std::size_t rows_per_kept_change = 2;

accepted_delta
delta_between(const config_snapshot& before, const config_snapshot& after)
{
    const auto& tables = after.tables();
    return {
        {after.number(), changes_between(before.tables(), tables), tables.hash_,
         before.number()},
        {}};
}

bool is_worth_keeping(const accepted_delta& delta, const config_tables& tables)
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

config_keeper::config_keeper(
    snapshot_store& snapshots,
    const clock& time,
    metric_sink& metrics,
    std::size_t kept_deltas)
    : snapshots_(snapshots), time_(time), metrics_(metrics),
      kept_deltas_(kept_deltas), started_at_(time.wall_now()),
      applier_(snapshots, time, &metrics), log_(kept_deltas)
{}

result<void> config_keeper::apply(
    const std::vector<accepted_delta>& deltas, apply_source source)
{
    const std::lock_guard lock(mutex_);
    bool usable = true;
    for (const auto& delta : deltas)
    {
        usable = keep_waiting(delta) && usable;
    }
    auto applied = apply_waiting(source);
    if (applied && !usable)
    {
        applied = make_error(
            error_kind::revision_gap,
            fmt::format(
                "delta to revision {}: spans revision {}, which is held",
                deltas.back().delta_.to_.value(), held().value()));
    }
    // The applier counts what it rejects; it never sees a gap.
    if (!applied && applied.error().kind_ == error_kind::revision_gap)
    {
        metrics_.add(
            metric_id::config_rejections,
            error_properties_of(applied.error().kind_).name_);
    }
    return applied;
}

// Returns false for a delta that begins before the revision in force and ends
// after it. Two readers of published revisions may have skipped different ones.
bool config_keeper::keep_waiting(const accepted_delta& delta)
{
    if (delta.delta_.to_ <= held())
    {
        return true;
    }
    if (base_revision(delta.delta_) < held())
    {
        return false;
    }
    waiting_.insert_or_assign(
        {delta.delta_.to_, base_revision(delta.delta_)}, delta);
    if (waiting_.size() > kept_deltas_)
    {
        waiting_.erase(std::prev(waiting_.end()));
    }
    return true;
}

std::optional<accepted_delta> config_keeper::take_next_waiting()
{
    std::erase_if(
        waiting_,
        [this](const auto& entry)
        {
            return base_revision(entry.second.delta_) < held();
        });
    const auto next = std::ranges::find_if(
        waiting_,
        [this](const auto& entry)
        {
            return base_revision(entry.second.delta_) == held();
        });
    if (next == waiting_.end())
    {
        return std::nullopt;
    }
    auto delta = std::move(next->second);
    waiting_.erase(next);
    return delta;
}

result<void> config_keeper::apply_waiting(apply_source source)
{
    while (const auto delta = take_next_waiting())
    {
        auto applied = apply_one(*delta, source);
        if (!applied)
        {
            return applied;
        }
    }
    if (waiting_.empty())
    {
        return {};
    }
    const auto& first = waiting_.begin()->second.delta_;
    return make_error(
        error_kind::revision_gap,
        fmt::format(
            "delta to revision {}: follows revision {}, held is revision {}",
            first.to_.value(), base_revision(first).value(), held().value()));
}

result<void>
config_keeper::apply_one(const accepted_delta& delta, apply_source source)
{
    auto applied = applier_.apply(delta.delta_);
    if (!applied)
    {
        return applied;
    }
    log_.append(delta.delta_);
    accepted_at_[delta.delta_.to_] = delta.accepted_at_;
    if (accepted_at_.size() > kept_deltas_)
    {
        accepted_at_.erase(accepted_at_.begin());
    }
    report(source, delta.accepted_at_);
    return {};
}

result<accepted_delta> config_keeper::adopt(
    const std::shared_ptr<const config_snapshot>& snapshot, apply_source source)
{
    const std::lock_guard lock(mutex_);
    const auto before = snapshots_.current();
    auto applied = applier_.apply(snapshot);
    if (!applied)
    {
        return tl::unexpected<error>(applied.error());
    }
    auto delta = delta_between(*before, *snapshot);
    if (is_worth_keeping(delta, snapshot->tables()))
    {
        log_.append(delta.delta_);
    }
    else
    {
        log_.reset(snapshot->number());
        accepted_at_.clear();
    }
    report(source, std::nullopt);
    // A gap that is still open is no failure of the snapshot.
    static_cast<void>(apply_waiting(source));
    return delta;
}

std::shared_ptr<const config_snapshot> config_keeper::current() const
{
    return snapshots_.current();
}

revision config_keeper::held() const
{
    return snapshots_.current()->number();
}

std::optional<std::vector<accepted_delta>>
config_keeper::deltas_after(revision from) const
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

void config_keeper::report(
    apply_source source, std::optional<wall_time> accepted_at) const
{
    metrics_.add(metric_id::config_applies, to_string(source));
    // A node that has just started catches up with edits of the past.
    if (accepted_at && *accepted_at >= started_at_)
    {
        metrics_.observe(
            metric_id::convergence_duration, to_string(source),
            seconds(time_.wall_now() - *accepted_at));
    }
    log_event<log_event_id::revision_applied>(
        log_fields::revision(held()), log_fields::source(to_string(source)));
}

} // namespace hemlockshelf
