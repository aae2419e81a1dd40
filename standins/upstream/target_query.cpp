#include "standins/upstream/target_query.hpp"

#include <algorithm>
#include <charconv>

namespace hemlockshelf {

namespace {

constexpr std::uint64_t max_number = 1ULL << 40;

} // namespace

std::uint64_t number_parameter(std::string_view target, std::string_view name)
{
    auto separator = target.find('?');
    while (separator != std::string_view::npos)
    {
        const auto next = target.find('&', separator + 1);
        const auto field = target.substr(
            separator + 1,
            next == std::string_view::npos ? next : next - separator - 1);
        if (field.starts_with(name) && field.substr(name.size(), 1) == "=")
        {
            const auto text = field.substr(name.size() + 1);
            std::uint64_t number = 0;
            std::from_chars(text.data(), text.data() + text.size(), number);
            return std::min(number, max_number);
        }
        separator = next;
    }
    return 0;
}

} // namespace hemlockshelf
