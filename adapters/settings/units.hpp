#ifndef HEMLOCKSHELF_ADAPTERS_SETTINGS_UNITS_HPP
#define HEMLOCKSHELF_ADAPTERS_SETTINGS_UNITS_HPP

#include <chrono>
#include <string_view>

#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Reads a whole number with a unit: `us`, `ms`, `s`, `m` or `h`. The error is
/// `settings_invalid`.
result<std::chrono::microseconds> parse_duration(std::string_view text);

/// Reads a whole number with a unit: `B`, `KiB` or `MiB`. The error is
/// `settings_invalid`.
result<byte_count> parse_size(std::string_view text);

} // namespace hemlockshelf

#endif
