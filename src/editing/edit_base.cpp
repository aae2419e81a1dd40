#include "hemlockshelf/editing/edit_base.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <fmt/format.h>

namespace hemlockshelf {

namespace {

recent_change summary_of(const change_record& record)
{
    return {record.delta_.to_, record.audit_.account_, record.audit_.at_};
}

void append_change(
    std::vector<recent_change>& recent, const change_record& record)
{
    const bool follows =
        recent.empty() || recent.back().revision_ < record.delta_.to_;
    if (follows)
    {
        recent.push_back(summary_of(record));
    }
    if (recent.size() > recent_change_limit)
    {
        recent.erase(recent.begin());
    }
}

/// Returns the first revision whose change row is known, or from which on the
/// rows are to be read.
revision read_from(const edit_base& base, revision target)
{
    const auto oldest = target.value() > recent_change_limit
                            ? target.value() - recent_change_limit
                            : 0;
    const auto known =
        base.recent_.empty() ? 0 : base.recent_.back().revision_.value();
    return revision{
        std::min(base.snapshot_->number().value(), std::max(oldest, known))};
}

void append_changes(
    std::vector<recent_change>& recent,
    const std::vector<change_record>& records,
    revision target)
{
    for (const auto& record : records)
    {
        if (record.delta_.to_ <= target)
        {
            append_change(recent, record);
        }
    }
}

} // namespace

edit_base next_base(
    const edit_base& base,
    std::shared_ptr<const config_snapshot> snapshot,
    const change_record& record)
{
    edit_base next{std::move(snapshot), base.recent_};
    append_change(next.recent_, record);
    return next;
}

edit_base_cache::edit_base_cache(table_service& tables, snapshot_source held)
    : tables_(tables), held_(std::move(held)),
      newest_(std::make_shared<const edit_base>(
          edit_base{config_snapshot::empty(), {}}))
{}

result<edit_base_pointer> edit_base_cache::at(const config_head& head)
{
    auto base = *newest();
    auto held = held_();
    if (held->number() > head.revision_)
    {
        return make_error(
            error_kind::platform_unavailable,
            fmt::format(
                "head row: expected revision {} or later, read {}",
                held->number().value(), head.revision_.value()));
    }
    if (base.snapshot_->number() < held->number() ||
        base.snapshot_->number() > head.revision_)
    {
        base.snapshot_ = std::move(held);
    }
    std::erase_if(
        base.recent_,
        [&head](const recent_change& change)
        {
            return change.revision_ > head.revision_;
        });
    auto from = read_from(base, head.revision_);
    while (from < head.revision_)
    {
        const auto records = read_changes(tables_, from, recent_change_limit);
        if (!records)
        {
            return tl::unexpected<error>(records.error());
        }
        if (records->empty() || records->back().delta_.to_ <= from)
        {
            return make_error(
                error_kind::revision_gap,
                fmt::format(
                    "change rows: expected revision {}, found none after {}",
                    head.revision_.value(), from.value()));
        }
        auto next = apply_records(base.snapshot_, *records, head.revision_);
        if (!next)
        {
            return tl::unexpected<error>(next.error());
        }
        base.snapshot_ = std::move(*next);
        append_changes(base.recent_, *records, head.revision_);
        from = records->back().delta_.to_;
    }
    auto found = std::make_shared<const edit_base>(std::move(base));
    keep(found);
    return found;
}

void edit_base_cache::keep(edit_base_pointer base)
{
    const std::lock_guard lock(mutex_);
    if (base->snapshot_->number() >= newest_->snapshot_->number())
    {
        newest_ = std::move(base);
    }
}

edit_base_pointer edit_base_cache::newest() const
{
    const std::lock_guard lock(mutex_);
    return newest_;
}

} // namespace hemlockshelf
