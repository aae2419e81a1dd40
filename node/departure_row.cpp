#include "node/departure_row.hpp"

#include <algorithm>
#include <cstdint>

#include <fmt/format.h>

#include "hemlockshelf/editing/platform_tables.hpp"

namespace hemlockshelf {

namespace {

// Attempts of one save: a lost answer or a write of an earlier process that
// comes late costs one each.
constexpr int max_attempts = 3;

nlohmann::json to_json(const std::vector<acknowledged_upstream>& departures)
{
    auto entries = nlohmann::json::array();
    for (const auto& departure : departures)
    {
        nlohmann::json entry{
            {"instance", departure.order_.instance_},
            {"drained", departure.drained_}};
        if (departure.order_.started_ms_)
        {
            entry["started_ms"] = *departure.order_.started_ms_;
        }
        if (departure.withdrawn_until_ms_)
        {
            entry["withdrawn_until_ms"] = *departure.withdrawn_until_ms_;
        }
        entries.push_back(std::move(entry));
    }
    return {{"departures", std::move(entries)}};
}

bool is_number_or_absent(const nlohmann::json& entry, const char* field)
{
    return !entry.contains(field) || entry.at(field).is_number_unsigned();
}

std::optional<std::uint64_t>
find_number(const nlohmann::json& entry, const char* field)
{
    return entry.contains(field)
               ? std::optional(entry.at(field).get<std::uint64_t>())
               : std::nullopt;
}

/// Returns `std::nullopt` for an entry of another writer.
std::optional<acknowledged_upstream> read_entry(const nlohmann::json& entry)
{
    if (!entry.is_object() || !entry.contains("instance") ||
        !entry.at("instance").is_string() || !entry.contains("drained") ||
        !entry.at("drained").is_boolean() ||
        !is_number_or_absent(entry, "started_ms") ||
        !is_number_or_absent(entry, "withdrawn_until_ms"))
    {
        return std::nullopt;
    }
    return acknowledged_upstream{
        {entry.at("instance").get<std::string>(),
         find_number(entry, "started_ms")},
        find_number(entry, "withdrawn_until_ms"),
        entry.at("drained").get<bool>()};
}

std::vector<acknowledged_upstream> read_entries(const nlohmann::json& value)
{
    std::vector<acknowledged_upstream> departures;
    if (!value.is_object() || !value.contains("departures") ||
        !value.at("departures").is_array())
    {
        return departures;
    }
    for (const auto& entry : value.at("departures"))
    {
        if (auto departure = read_entry(entry))
        {
            departures.push_back(std::move(*departure));
        }
    }
    return departures;
}

} // namespace

departure_row::departure_row(
    table_service& tables, const vm_id& vm, local_upstream& upstream)
    : tables_(tables), key_(vm.value()), upstream_(upstream)
{}

platform_era departure_row::latest_era() const
{
    return std::max(required_era_, tables_.era());
}

result<void> departure_row::load()
{
    // Before the call, whose answer is from this era or a later one.
    const auto era = latest_era();
    const auto row = tables_.read(platform_tables::departures, key_);
    if (!row)
    {
        return tl::unexpected<error>(row.error());
    }
    stored_era_ = era;
    stored_.emplace();
    version_ = row_version{0};
    if (*row)
    {
        version_ = (*row)->version_;
        stored_ = read_entries((*row)->value_);
    }
    for (const auto& departure : *stored_)
    {
        upstream_.restore(departure);
    }
    return {};
}

result<void> departure_row::save()
{
    result<void> outcome;
    if (stored_era_ < latest_era())
    {
        forget();
    }
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        if (!stored_ || (!version_ && *stored_ != upstream_.departures()))
        {
            if (outcome = load(); !outcome)
            {
                return outcome;
            }
        }
        const auto departures = upstream_.departures();
        if (*stored_ == departures)
        {
            return {};
        }
        if (outcome = write(departures); outcome)
        {
            return outcome;
        }
        // The next attempt reads whether the row was written.
        forget();
        const auto kind = outcome.error().kind_;
        if (kind != error_kind::conflict && kind != error_kind::outcome_unknown)
        {
            return outcome;
        }
    }
    return outcome;
}

result<void>
departure_row::write(const std::vector<acknowledged_upstream>& departures)
{
    const auto era = latest_era();
    // The check keeps a call that is performed late, of this process or an
    // earlier one, from undoing a newer write.
    auto written = tables_.commit(
        {{{platform_tables::departures, key_, *version_}},
         {{platform_tables::departures, key_, to_json(departures)}}});
    if (written)
    {
        stored_ = departures;
        stored_era_ = era;
        version_.reset();
    }
    return written;
}

void departure_row::forget()
{
    stored_.reset();
    version_.reset();
}

void departure_row::require(platform_era era)
{
    required_era_ = std::max(required_era_, era);
}

void departure_row::assume_absent()
{
    stored_era_ = latest_era();
    stored_.emplace();
    version_ = row_version{0};
}

row_check no_departures(const vm_id& vm)
{
    return {platform_tables::departures, vm.value(), {}};
}

result<void> remove_departure_row(table_service& tables, const vm_id& vm)
{
    return tables.commit(
        {{}, {{platform_tables::departures, vm.value(), nullptr}}});
}

} // namespace hemlockshelf
