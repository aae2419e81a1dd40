#include "hemlockshelf/core/content_hash.hpp"

#include <charconv>
#include <cstddef>

#include <fmt/format.h>
#include <xxhash.h>

namespace hemlockshelf {

namespace {

constexpr std::size_t lane_digits = 16;

std::optional<std::uint64_t> parse_lane(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, 16);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace

void content_hash::add(std::string_view item)
{
    const auto hash = XXH3_128bits(item.data(), item.size());
    high_ += hash.high64;
    low_ += hash.low64;
}

void content_hash::remove(std::string_view item)
{
    const auto hash = XXH3_128bits(item.data(), item.size());
    high_ -= hash.high64;
    low_ -= hash.low64;
}

std::string content_hash::to_string() const
{
    return fmt::format("{:016x}{:016x}", high_, low_);
}

std::optional<content_hash> content_hash::from_string(std::string_view text)
{
    if (text.size() != 2 * lane_digits)
    {
        return std::nullopt;
    }
    const auto high = parse_lane(text.substr(0, lane_digits));
    const auto low = parse_lane(text.substr(lane_digits));
    if (!high || !low)
    {
        return std::nullopt;
    }
    return content_hash{*high, *low};
}

std::uint64_t hash_text(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace hemlockshelf
