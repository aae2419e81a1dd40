#ifndef HEMLOCKSHELF_CONFIG_ROW_LIMITS_HPP
#define HEMLOCKSHELF_CONFIG_ROW_LIMITS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "hemlockshelf/config/row_change.hpp"
#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Largest values that a row may have.
struct row_limits
{
    /// In bytes.
    std::size_t key_length_;
    /// Of hosts, prefixes and other texts, in bytes.
    std::size_t text_length_;
    /// Of `timeout_` and `target_latency_`.
    std::chrono::milliseconds timeout_;
    std::uint32_t priority_;
    std::uint32_t max_attempts_;
    std::uint32_t weight_;
    std::uint32_t max_concurrent_calls_;
    /// API keys of one account.
    std::size_t api_keys_;
    /// Of the rate and the burst of an account.
    double requests_per_second_;
    /// Whether the names in a key consist of letters, digits, `-`, `_` and `.`
    /// only. Otherwise they may have any character but control characters, and
    /// no blank at an end: they are sent in header fields.
    bool plain_names_;
};

/// Limits of every row that a node may hold. They are the same for each way
/// into a node, so that a node can pass on whatever it has put into force.
row_limits held_row_limits();

/// Limits of the rows that operators edit through a node. They are within those
/// of held rows.
row_limits edited_row_limits();

/// Returns whether the text consists of letters, digits, `-`, `_` and `.`, as
/// the name of an account must.
bool is_account_name(std::string_view text);

/// Checks that a key has the form `<client_account>/<name>` and is within the
/// limits. The error is `invalid_row`.
result<void> check_key(const row_key& key, const row_limits& limits);

/// Checks the values of a row. The error is `invalid_row` and names the field.
result<void> check_row(const route_row& row, const row_limits& limits);
result<void> check_row(const pool_row& row, const row_limits& limits);
result<void> check_row(const account_row& row, const row_limits& limits);

/// Adds the table and the key of a row to the message of an error in it.
error in_row(const row_change& change, error failure);

/// Checks a key and its new row, if there is one. The error is `invalid_row`
/// and names the row.
result<void> check_change(const row_change& change, const row_limits& limits);

} // namespace hemlockshelf

#endif
