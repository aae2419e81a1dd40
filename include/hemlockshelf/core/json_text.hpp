#ifndef HEMLOCKSHELF_CORE_JSON_TEXT_HPP
#define HEMLOCKSHELF_CORE_JSON_TEXT_HPP

#include <cstddef>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Maximum number of arrays and objects around a value in a text that is
/// parsed. No message of this project or of its platforms comes near. Copying
/// and dumping a parsed value recurse, and a text of 200 kB nested 200,000 deep
/// overflowed the stack.
inline constexpr std::size_t max_json_depth = 64;

/// Parses a text that another process wrote. Fails with `bad_request` if it is
/// not JSON or nested deeper than `max_json_depth`.
result<nlohmann::json> parse_json(std::string_view text);

/// Returns the value on one line. Bytes that are not UTF-8 are replaced instead
/// of causing an exception, because errors quote what a peer has sent.
std::string to_json_text(const nlohmann::json& value);

} // namespace hemlockshelf

#endif
