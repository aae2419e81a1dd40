#ifndef HEMLOCKSHELF_CONFIG_ACCOUNT_ROW_HPP
#define HEMLOCKSHELF_CONFIG_ACCOUNT_ROW_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace hemlockshelf {

/// A row of the accounts table: a client account whose callers authenticate
/// with API keys. The row's key is `<owner account>/<account name>`.
struct account_row
{
    /// SHA-256 of each valid API key, as 64 lower-case hexadecimal digits.
    std::set<std::string> key_hashes_;
    /// Takes precedence over the priority of the route, if set.
    std::optional<std::uint32_t> priority_;
    /// Limit of the account's requests over all nodes; 0 sets none.
    double requests_per_second_ = 0;
    /// Requests that the account may send at once beyond the rate.
    double burst_ = 0;

    friend bool operator==(const account_row&, const account_row&) = default;
};

} // namespace hemlockshelf

#endif
