#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_TARGET_QUERY_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_TARGET_QUERY_HPP

#include <cstdint>
#include <string_view>

namespace hemlockshelf {

/// Returns the number in a query parameter of a request's target, or 0 if it is
/// missing or not a number. Numbers above 2^40 are clamped to 2^40.
std::uint64_t number_parameter(std::string_view target, std::string_view name);

} // namespace hemlockshelf

#endif
