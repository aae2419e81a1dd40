#ifndef HEMLOCKSHELF_CONFIG_TRAFFIC_CLASS_HPP
#define HEMLOCKSHELF_CONFIG_TRAFFIC_CLASS_HPP

#include <optional>
#include <string_view>

namespace hemlockshelf {

/// Class of a route's requests. The gate reserves capacity for lookups.
enum class traffic_class
{
    lookup,
    standard,
    bulk,
};

/// Returns the name of the class, as used in the rows of routes.
std::string_view to_string(traffic_class value);

/// Returns the class with the given name, or nothing if there is none.
std::optional<traffic_class> find_traffic_class(std::string_view name);

} // namespace hemlockshelf

#endif
