#ifndef HEMLOCKSHELF_CONFIG_ROW_CODEC_HPP
#define HEMLOCKSHELF_CONFIG_ROW_CODEC_HPP

#include <string>

#include <nlohmann/json.hpp>

#include "hemlockshelf/config/account_row.hpp"
#include "hemlockshelf/config/pool_row.hpp"
#include "hemlockshelf/config/route_row.hpp"
#include "hemlockshelf/config/table_id.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

nlohmann::json to_json(const route_row& row);
nlohmann::json to_json(const pool_row& row);
nlohmann::json to_json(const account_row& row);

/// Parses a row that a node may hold. The error is `invalid_row` for unknown
/// fields, wrong types and values beyond `held_row_limits`.
result<route_row> route_from_json(const nlohmann::json& json);
result<pool_row> pool_from_json(const nlohmann::json& json);
result<account_row> account_from_json(const nlohmann::json& json);

/// Returns the text over which the content hash of a row is computed: table,
/// key and row.
std::string
row_hash_input(table_id table, const row_key& key, const nlohmann::json& row);

/// Returns the account of a key of the form `<client_account>/<name>`.
client_account_id account_of(const row_key& key);

} // namespace hemlockshelf

#endif
