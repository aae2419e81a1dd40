#include "hemlockshelf/config/traffic_class.hpp"

#include <array>

namespace hemlockshelf {

namespace {

constexpr std::array all_classes{
    traffic_class::lookup, traffic_class::standard, traffic_class::bulk};

} // namespace

std::string_view to_string(traffic_class value)
{
    switch (value)
    {
    case traffic_class::lookup:
        return "lookup";
    case traffic_class::standard:
        return "standard";
    case traffic_class::bulk:
        return "bulk";
    }
    return "standard";
}

std::optional<traffic_class> find_traffic_class(std::string_view name)
{
    for (const auto candidate : all_classes)
    {
        if (to_string(candidate) == name)
        {
            return candidate;
        }
    }
    return std::nullopt;
}

} // namespace hemlockshelf
