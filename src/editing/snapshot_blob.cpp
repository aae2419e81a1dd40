#include "hemlockshelf/editing/snapshot_blob.hpp"

#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/config/config_delta.hpp"
#include "hemlockshelf/core/json_text.hpp"
#include "hemlockshelf/editing/config_reader.hpp"

namespace hemlockshelf {

namespace {

// The newest blob may not be written yet and the previous one may be missing
// because its writer failed. Loading an even older blob saves little compared
// to reading the change rows.
constexpr int max_blobs_tried = 3;

} // namespace

std::string snapshot_blob_name(revision number)
{
    return fmt::format("snapshots/{}", number.value());
}

std::string snapshot_to_blob(const config_snapshot& snapshot)
{
    const auto& tables = snapshot.tables();
    return to_json(
               config_delta{snapshot.number(), all_rows(tables), tables.hash_})
        .dump();
}

result<std::shared_ptr<const config_snapshot>>
snapshot_from_blob(const std::string& text)
{
    const auto json = parse_json(text);
    if (!json)
    {
        return make_error(
            error_kind::invalid_row,
            "configuration blob: " + json.error().message_);
    }
    const auto rows = delta_from_json(*json);
    if (!rows)
    {
        return tl::unexpected<error>(rows.error());
    }
    return build_from_rows(rows->to_, rows->changes_, rows->result_hash_);
}

result<std::shared_ptr<const config_snapshot>>
load_newest_blob(object_store& objects, revision current, revision head)
{
    auto number = head.value() - (head.value() % snapshot_blob_interval);
    for (int tried = 0; tried < max_blobs_tried && number > current.value();
         ++tried)
    {
        const auto text = objects.get(snapshot_blob_name(revision{number}));
        if (!text)
        {
            return tl::unexpected<error>(text.error());
        }
        if (*text)
        {
            auto snapshot = snapshot_from_blob(**text);
            if (snapshot && (*snapshot)->number() == revision{number})
            {
                return snapshot;
            }
        }
        number -= snapshot_blob_interval;
    }
    return std::shared_ptr<const config_snapshot>();
}

result<void> remove_old_blobs(object_store& objects, revision written)
{
    for (std::uint64_t age = retained_blob_count; age < 2 * retained_blob_count;
         ++age)
    {
        const auto distance = age * snapshot_blob_interval;
        if (written.value() <= distance)
        {
            return {};
        }
        const revision old{written.value() - distance};
        auto removed = objects.remove(snapshot_blob_name(old));
        if (!removed)
        {
            return removed;
        }
    }
    return {};
}

result<std::shared_ptr<const config_snapshot>> catch_up(
    table_service& tables,
    object_store& objects,
    std::shared_ptr<const config_snapshot> base,
    revision target)
{
    // Errors of the object store are ignored, because the change rows contain
    // the same data.
    const auto blob = load_newest_blob(objects, base->number(), target);
    if (blob && *blob)
    {
        base = *blob;
    }
    return catch_up(tables, std::move(base), target);
}

} // namespace hemlockshelf
