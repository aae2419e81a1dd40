#include "adapters/rpc/config_payload.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>

#include <nlohmann/json.hpp>
#include <zstd.h>

#include "hemlockshelf/core/json_text.hpp"

namespace hemlockshelf {

namespace {

constexpr int compression_level = 3;
// Deltas up to this size, in bytes, are left to the compression of the control
// stream, which finds in the messages before what they repeat. It can't do so
// in a compressed payload.
constexpr std::size_t max_plain_size = 4096;
// A snapshot of 2,500 services takes a few MB; a peer that claims more is
// refused before memory is taken for it.
constexpr unsigned long long max_payload_size = 64ULL << 20;

std::string compress(const std::string& text)
{
    std::string bytes(ZSTD_compressBound(text.size()), '\0');
    const auto size = ZSTD_compress(
        bytes.data(), bytes.size(), text.data(), text.size(),
        compression_level);
    bytes.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return bytes;
}

result<nlohmann::json> parse(std::string_view text)
{
    auto json = parse_json(text);
    if (!json)
    {
        return make_error(
            error_kind::invalid_row,
            "configuration payload: " + json.error().message_);
    }
    return json;
}

result<nlohmann::json> decompress(std::string_view payload)
{
    const auto size = ZSTD_getFrameContentSize(payload.data(), payload.size());
    // Unknown and malformed sizes are above the limit as well.
    if (size > max_payload_size)
    {
        return make_error(
            error_kind::invalid_row, "configuration payload: malformed frame");
    }
    std::string text(static_cast<std::size_t>(size), '\0');
    const auto read = ZSTD_decompress(
        text.data(), text.size(), payload.data(), payload.size());
    if (ZSTD_isError(read) != 0 || read != text.size())
    {
        return make_error(
            error_kind::invalid_row, "configuration payload: malformed frame");
    }
    return parse(text);
}

std::int64_t to_milliseconds(wall_time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               time.time_since_epoch())
        .count();
}

result<accepted_delta> delta_from(const nlohmann::json& item)
{
    auto delta = delta_from_json(item);
    if (!delta)
    {
        return tl::unexpected<error>(delta.error());
    }
    const auto at = item.find("at_ms");
    const auto milliseconds = at != item.end() && at->is_number_integer()
                                  ? at->get<std::int64_t>()
                                  : std::int64_t{0};
    return accepted_delta{
        std::move(*delta), wall_time{std::chrono::milliseconds{milliseconds}}};
}

} // namespace

std::string encode_deltas(const std::vector<accepted_delta>& deltas)
{
    auto items = nlohmann::json::array();
    for (const auto& entry : deltas)
    {
        auto item = to_json(entry.delta_);
        item["at_ms"] = to_milliseconds(entry.accepted_at_);
        items.push_back(std::move(item));
    }
    auto text = items.dump();
    return text.size() <= max_plain_size ? text : compress(text);
}

result<std::vector<accepted_delta>> decode_deltas(std::string_view payload)
{
    // A zstd frame begins with another byte.
    const auto json =
        payload.starts_with('[') ? parse(payload) : decompress(payload);
    if (!json)
    {
        return tl::unexpected<error>(json.error());
    }
    if (!json->is_array() || json->empty())
    {
        return make_error(
            error_kind::invalid_row,
            "configuration payload: expected a list of deltas");
    }
    std::vector<accepted_delta> deltas;
    for (const auto& item : *json)
    {
        auto delta = delta_from(item);
        if (!delta)
        {
            return tl::unexpected<error>(delta.error());
        }
        deltas.push_back(std::move(*delta));
    }
    return deltas;
}

std::string encode_snapshot(const config_snapshot& snapshot)
{
    const nlohmann::json json{
        {"revision", snapshot.number().value()},
        {"hash", snapshot.tables().hash_.to_string()},
        {"delta", changes_to_json(all_rows(snapshot.tables()))}};
    return compress(json.dump());
}

result<std::shared_ptr<const config_snapshot>>
decode_snapshot(std::string_view payload)
{
    const auto json = decompress(payload);
    if (!json)
    {
        return tl::unexpected<error>(json.error());
    }
    const auto rows = delta_from_json(*json);
    if (!rows)
    {
        return tl::unexpected<error>(rows.error());
    }
    return build_from_rows(rows->to_, rows->changes_, rows->result_hash_);
}

} // namespace hemlockshelf
