#include "hemlockshelf/editing/config_reader.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/editing/platform_tables.hpp"

namespace hemlockshelf {

namespace {

constexpr std::size_t changes_per_scan = 256;

result<config_head> parse_head(const stored_row& row)
{
    const auto& json = row.value_;
    const bool well_formed = json.is_object() && json.contains("revision") &&
                             json.at("revision").is_number_unsigned() &&
                             json.contains("hash") &&
                             json.at("hash").is_string();
    if (!well_formed)
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format("head row: malformed, given {}", json.dump()));
    }
    const auto hash =
        content_hash::from_string(json.at("hash").get<std::string>());
    if (!hash)
    {
        return make_error(error_kind::invalid_row, "head row: malformed hash");
    }
    return config_head{
        revision{json.at("revision").get<std::uint64_t>()}, *hash,
        row.version_};
}

} // namespace

result<config_head> read_head(table_service& tables)
{
    const auto row =
        tables.read(platform_tables::head, platform_tables::head_key);
    if (!row)
    {
        return tl::unexpected<error>(row.error());
    }
    if (!row->has_value())
    {
        return config_head{};
    }
    return parse_head(**row);
}

result<std::vector<change_record>>
read_changes(table_service& tables, revision from, std::size_t limit)
{
    const auto rows = tables.scan(
        {platform_tables::changes, platform_tables::change_key(from), "",
         limit});
    if (!rows)
    {
        return tl::unexpected<error>(rows.error());
    }
    std::vector<change_record> records;
    records.reserve(rows->size());
    for (const auto& row : *rows)
    {
        auto record = change_record_from_json(row.value_);
        if (!record)
        {
            return tl::unexpected<error>(record.error());
        }
        record->version_ = row.version_;
        records.push_back(std::move(*record));
    }
    return records;
}

result<std::shared_ptr<const config_snapshot>> apply_records(
    std::shared_ptr<const config_snapshot> base,
    const std::vector<change_record>& records,
    revision target)
{
    auto number = base->number();
    auto tables = base->tables();
    for (const auto& record : records)
    {
        const auto& delta = record.delta_;
        if (delta.to_ <= number)
        {
            continue;
        }
        if (delta.to_ > target)
        {
            break;
        }
        const auto follows = check_revision_order(number, delta.to_);
        if (!follows)
        {
            return tl::unexpected<error>(follows.error());
        }
        for (const auto& change : delta.changes_)
        {
            apply_change(tables, change);
        }
        const auto checked = check_hash(tables, delta.result_hash_);
        if (!checked)
        {
            return tl::unexpected<error>(checked.error());
        }
        number = delta.to_;
    }
    if (number == base->number())
    {
        return base;
    }
    return config_snapshot::build(number, std::move(tables));
}

result<std::shared_ptr<const config_snapshot>> catch_up(
    table_service& tables,
    std::shared_ptr<const config_snapshot> base,
    revision target)
{
    while (base->number() < target)
    {
        const auto records =
            read_changes(tables, base->number(), changes_per_scan);
        if (!records)
        {
            return tl::unexpected<error>(records.error());
        }
        if (records->empty())
        {
            return make_error(
                error_kind::revision_gap,
                fmt::format(
                    "change rows: expected revision {}, found none after {}",
                    target.value(), base->number().value()));
        }
        auto next = apply_records(base, *records, target);
        if (!next)
        {
            return next;
        }
        base = std::move(*next);
    }
    return base;
}

} // namespace hemlockshelf
