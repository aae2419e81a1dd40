#include "adapters/settings/units.hpp"

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <span>

#include <fmt/format.h>

namespace hemlockshelf {

namespace {

struct unit
{
    std::string_view name_;
    std::uint64_t factor_;
};

constexpr std::array duration_units{
    unit{"us", 1}, unit{"ms", 1000}, unit{"s", 1'000'000},
    unit{"m", 60'000'000}, unit{"h", 3'600'000'000}};
constexpr std::array size_units{
    unit{"B", 1}, unit{"KiB", 1024}, unit{"MiB", 1'048'576}};

// Keeps every product of a number and its unit within 64 bits.
constexpr std::uint64_t max_number = 1'000'000'000;

std::optional<std::uint64_t>
parse_with_unit(std::string_view text, std::span<const unit> units)
{
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc{} || number > max_number)
    {
        return std::nullopt;
    }
    const std::string_view name(
        parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
    for (const auto& candidate : units)
    {
        if (candidate.name_ == name)
        {
            return number * candidate.factor_;
        }
    }
    return std::nullopt;
}

} // namespace

result<std::chrono::microseconds> parse_duration(std::string_view text)
{
    const auto value = parse_with_unit(text, duration_units);
    if (!value)
    {
        return make_error(
            error_kind::settings_invalid,
            fmt::format(
                "expected a duration such as 500ms, 3s or 2m, given \"{}\"",
                text));
    }
    return std::chrono::microseconds{*value};
}

result<byte_count> parse_size(std::string_view text)
{
    const auto value = parse_with_unit(text, size_units);
    if (!value)
    {
        return make_error(
            error_kind::settings_invalid,
            fmt::format(
                "expected a size such as 512B, 64KiB or 16MiB, given \"{}\"",
                text));
    }
    return byte_count{*value};
}

} // namespace hemlockshelf
