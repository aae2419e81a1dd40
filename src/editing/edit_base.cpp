#include "hemlockshelf/editing/edit_base.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/editing/config_reader.hpp"

namespace hemlockshelf {

namespace {

// The fleet rarely accepts more edits than this within the quota window of one
// second. Reading all the rows that the quota could need would cost a node that
// has not processed an edit recently some hundred kilobytes.
constexpr std::uint64_t first_scan_rows = 8;
constexpr revision latest_revision{std::numeric_limits<std::uint64_t>::max()};

recent_change to_recent_change(const change_record& record)
{
    return {
        record.delta_.to_, record.id_, record.audit_.account_,
        record.audit_.at_};
}

void append_change(
    std::vector<recent_change>& recent, const change_record& record)
{
    const bool follows =
        recent.empty() || recent.back().revision_ < record.delta_.to_;
    if (follows)
    {
        recent.push_back(to_recent_change(record));
    }
    if (recent.size() > recent_change_limit)
    {
        recent.erase(recent.begin());
    }
}

void append_changes(
    std::vector<recent_change>& recent,
    const std::vector<change_record>& records)
{
    for (const auto& record : records)
    {
        append_change(recent, record);
    }
}

/// Returns the revision after which the change rows are scanned, at most `rows`
/// before the base. The scan includes the row of the base's own revision, which
/// verifies that the platform has that revision.
revision scan_start(const edit_base& base, std::uint64_t rows)
{
    const auto base_number = base.snapshot_->number().value();
    if (base_number == 0)
    {
        return revision{0};
    }
    const auto oldest = base_number > rows ? base_number - rows : 0;
    const auto known =
        base.recent_.empty() ? 0 : base.recent_.back().revision_.value();
    return revision{std::min(base_number - 1, std::max(oldest, known))};
}

/// Returns whether the recent changes of the base reach back to `time` without
/// a gap.
bool reaches_back(const edit_base& base, wall_time time)
{
    auto expected = base.snapshot_->number().value();
    for (auto change = base.recent_.rbegin(); change != base.recent_.rend();
         ++change, --expected)
    {
        if (change->revision_.value() != expected)
        {
            return false;
        }
        if (change->at_ <= time)
        {
            return true;
        }
    }
    return expected == 0 || base.recent_.size() >= recent_change_limit;
}

} // namespace

edit_base next_base(
    const edit_base& base,
    std::shared_ptr<const config_snapshot> snapshot,
    const change_record& record)
{
    edit_base next{std::move(snapshot), base.recent_, {}};
    append_change(next.recent_, record);
    return next;
}

edit_base_cache::edit_base_cache(
    table_service& tables, snapshot_source current_snapshot)
    : tables_(tables), current_snapshot_(std::move(current_snapshot)),
      newest_(std::make_shared<const edit_base>(
          edit_base{config_snapshot::empty(), {}, {}}))
{}

result<edit_base_pointer> edit_base_cache::read(wall_time since)
{
    const auto base = newest_known();
    auto found = read_after(base, scan_start(base, first_scan_rows));
    if (found && !reaches_back(**found, since))
    {
        found = read_after(base, scan_start(base, recent_change_limit));
    }
    if (found)
    {
        store(*found);
    }
    return found;
}

result<edit_base_pointer>
edit_base_cache::read_after(edit_base base, revision read_up_to)
{
    const auto base_number = base.snapshot_->number();
    std::size_t rows = recent_change_limit;
    while (rows == recent_change_limit)
    {
        const auto records =
            read_changes(tables_, read_up_to, recent_change_limit);
        if (!records)
        {
            return tl::unexpected<error>(records.error());
        }
        auto next = apply_records(base.snapshot_, *records, latest_revision);
        if (!next)
        {
            return tl::unexpected<error>(next.error());
        }
        base.snapshot_ = std::move(*next);
        append_changes(base.recent_, *records);
        if (!records->empty())
        {
            base.change_version_ = records->back().version_;
        }
        rows = records->size();
        read_up_to = rows == 0 ? read_up_to : records->back().delta_.to_;
    }
    if (read_up_to < base_number)
    {
        return make_error(
            error_kind::platform_unavailable,
            fmt::format(
                "change rows: expected revision {} or later, found {}",
                base_number.value(), read_up_to.value()));
    }
    return std::make_shared<const edit_base>(std::move(base));
}

void edit_base_cache::store(edit_base_pointer base)
{
    const std::lock_guard lock(mutex_);
    if (base->snapshot_->number() >= newest_->snapshot_->number())
    {
        newest_ = std::move(base);
    }
}

edit_base edit_base_cache::newest_known() const
{
    auto current = current_snapshot_();
    const std::lock_guard lock(mutex_);
    auto base = *newest_;
    if (base.snapshot_->number() < current->number())
    {
        base.snapshot_ = std::move(current);
    }
    return base;
}

} // namespace hemlockshelf
