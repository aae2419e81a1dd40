#ifndef HEMLOCKSHELF_CONFIG_ROW_CODEC_HPP
#define HEMLOCKSHELF_CONFIG_ROW_CODEC_HPP

#include <string>

#include <nlohmann/json.hpp>

#include "hemlockshelf/config/pool_row.hpp"
#include "hemlockshelf/config/route_row.hpp"
#include "hemlockshelf/config/table_id.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

nlohmann::json to_json(const route_row& row);
nlohmann::json to_json(const pool_row& row);

/// Reads a row and checks its fields one by one. Unknown fields, wrong types
/// and numbers out of range are `invalid_row`.
result<route_row> route_from_json(const nlohmann::json& json);
result<pool_row> pool_from_json(const nlohmann::json& json);

/// Returns the text that the content hash covers: table, key and row.
std::string
row_hash_input(table_id table, const row_key& key, const nlohmann::json& row);

/// Returns the account part of `<client_account>/<name>`.
client_account_id account_of(const row_key& key);

/// Checks the form of a key: `<client_account>/<name>`, both of letters,
/// digits, `-`, `_` and `.`, at most 128 characters in all.
result<void> check_key(const row_key& key);

} // namespace hemlockshelf

#endif
