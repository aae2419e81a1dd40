#include "hemlockshelf/editing/change_archive.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "hemlockshelf/core/json_text.hpp"
#include "hemlockshelf/editing/config_reader.hpp"
#include "hemlockshelf/editing/platform_tables.hpp"
#include "hemlockshelf/editing/snapshot_blob.hpp"

namespace hemlockshelf {

namespace {

// One blob of a hundred changes is due per hundred edits. Moving two per call
// lets the archive catch up after an outage of the platform.
constexpr int max_blobs_per_call = 2;

/// Number of change rows that are retained, so that a reader that starts from
/// the oldest retained snapshot blob finds every row after it.
constexpr std::uint64_t retained_rows =
    retained_blob_count * snapshot_blob_interval;

using record_list = std::vector<change_record>;

revision last_of_archive(revision first)
{
    const auto last = first.value() - 1;
    return revision{last - (last % changes_per_archive) + changes_per_archive};
}

bool is_due(
    const record_list& records,
    revision snapshot,
    wall_time now,
    std::chrono::milliseconds retention)
{
    const auto end = last_of_archive(records.front().delta_.to_);
    const bool whole = records.back().delta_.to_ == end;
    const bool kept = end.value() + retained_rows > snapshot.value();
    const auto is_old = [&](const change_record& record)
    {
        return record.audit_.at_ + retention <= now;
    };
    return whole && !kept && std::ranges::all_of(records, is_old);
}

/// Returns the change rows that belong to the next archive blob.
result<record_list> read_next_archive_rows(table_service& tables)
{
    auto records = read_changes(tables, revision{0}, changes_per_archive);
    if (!records || records->empty())
    {
        return records;
    }
    const auto end = last_of_archive(records->front().delta_.to_);
    std::erase_if(
        *records,
        [end](const change_record& record)
        {
            return record.delta_.to_ > end;
        });
    return records;
}

result<void> store(object_store& objects, const record_list& records)
{
    auto json = nlohmann::json::array();
    for (const auto& record : records)
    {
        json.push_back(to_json(record));
    }
    return objects.put(archive_name(records.back().delta_.to_), json.dump());
}

/// Returns the transaction that removes the rows unless another node has
/// already removed them. Without that check, a delayed removal could delete a
/// change ID that has been reused in the meantime.
transaction make_removal(const record_list& records)
{
    transaction removal;
    const auto& last = records.back();
    removal.checks_.push_back(
        {platform_tables::changes, platform_tables::change_key(last.delta_.to_),
         last.version_});
    for (const auto& record : records)
    {
        removal.writes_.push_back(
            {platform_tables::changes,
             platform_tables::change_key(record.delta_.to_), nullptr});
        removal.writes_.push_back(
            {platform_tables::change_ids, record.id_.value(), nullptr});
    }
    return removal;
}

result<void> move_to_archive(
    table_service& tables, object_store& objects, const record_list& records)
{
    auto stored = store(objects, records);
    if (!stored)
    {
        return stored;
    }
    auto removed = tables.commit(make_removal(records));
    if (!removed && removed.error().kind_ == error_kind::conflict)
    {
        // Another node has already moved these rows.
        return {};
    }
    return removed;
}

result<record_list> parse_archive(const std::string& text)
{
    const auto json = parse_json(text);
    if (!json || !json->is_array())
    {
        return make_error(
            error_kind::invalid_row, "change archive: expected a JSON array");
    }
    record_list records;
    for (const auto& item : *json)
    {
        auto record = change_record_from_json(item);
        if (!record)
        {
            return tl::unexpected<error>(record.error());
        }
        records.push_back(std::move(*record));
    }
    return records;
}

/// Returns the archived changes after `from`, or an empty list if there are
/// none.
result<record_list>
read_archive(object_store& objects, revision from, std::size_t limit)
{
    const auto end = last_of_archive(revision{from.value() + 1});
    const auto text = objects.get(archive_name(end));
    if (!text)
    {
        return tl::unexpected<error>(text.error());
    }
    if (!*text)
    {
        return record_list{};
    }
    auto records = parse_archive(**text);
    if (!records)
    {
        return records;
    }
    std::erase_if(
        *records,
        [from](const change_record& record)
        {
            return record.delta_.to_ <= from;
        });
    if (records->size() > limit)
    {
        records->erase(
            records->begin() + static_cast<std::ptrdiff_t>(limit),
            records->end());
    }
    return records;
}

} // namespace

std::string archive_name(revision last)
{
    return fmt::format("changes/{}", last.value());
}

result<std::size_t> archive_changes(
    table_service& tables,
    object_store& objects,
    revision snapshot,
    wall_time now,
    std::chrono::milliseconds retention)
{
    std::size_t moved = 0;
    for (int count = 0; count < max_blobs_per_call; ++count)
    {
        const auto records = read_next_archive_rows(tables);
        if (!records)
        {
            return tl::unexpected<error>(records.error());
        }
        if (records->empty() || !is_due(*records, snapshot, now, retention))
        {
            return moved;
        }
        const auto done = move_to_archive(tables, objects, *records);
        if (!done)
        {
            return tl::unexpected<error>(done.error());
        }
        moved += records->size();
    }
    return moved;
}

result<std::vector<change_record>> read_history(
    table_service& tables,
    object_store& objects,
    revision from,
    std::size_t limit)
{
    auto records = read_changes(tables, from, limit);
    const bool follows =
        !records || records->empty() ||
        records->front().delta_.to_ == revision{from.value() + 1};
    if (follows)
    {
        return records;
    }
    auto archived = read_archive(objects, from, limit);
    return !archived || !archived->empty() ? archived : records;
}

} // namespace hemlockshelf
