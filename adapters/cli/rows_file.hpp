#ifndef HEMLOCKSHELF_ADAPTERS_CLI_ROWS_FILE_HPP
#define HEMLOCKSHELF_ADAPTERS_CLI_ROWS_FILE_HPP

#include <string>

#include <nlohmann/json.hpp>

#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Reads a YAML or JSON file of rows and returns the list of edits that the
/// admin interface expects. The file maps `pools` and `routes` to rows by key;
/// a row may hold `expected_version` beside its fields, and a null row is a
/// deletion. The error is `usage` and names the file and the line.
result<nlohmann::json> load_rows_file(const std::string& path);

/// Like `load_rows_file`, for text; `name` stands for the file in errors.
result<nlohmann::json>
parse_rows(const std::string& text, const std::string& name);

} // namespace hemlockshelf

#endif
