#ifndef HEMLOCKSHELF_ACCOUNTS_AUTHENTICATION_HPP
#define HEMLOCKSHELF_ACCOUNTS_AUTHENTICATION_HPP

#include <cstddef>
#include <string_view>

#include "hemlockshelf/config/account_index.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Longest API key that is looked up, in bytes.
inline constexpr std::size_t max_api_key_bytes = 4096;

/// The `Authorization` fields of a request.
struct request_credentials
{
    /// Number of fields.
    std::size_t fields_ = 0;
    /// Value of the first one.
    std::string_view authorization_;
};

/// What a node knows about the accounts when a request arrives.
struct account_knowledge
{
    const account_index& accounts_;
    /// Owner of the routes, whose accounts authenticate its callers.
    const client_account_id& owner_;
    /// Whether the node may rely on the accounts that it holds: a key may have
    /// been withdrawn meanwhile.
    bool confirmed_ = true;
};

/// Returns the account that holds the API key of a request. Returns null if the
/// owner has no accounts, and on a public route if the request carries no key
/// of a known account. The errors are `bad_request` for several `Authorization`
/// fields, `credentials_unconfirmed` if the node may not rely on its accounts,
/// and `unauthorized` for a missing, malformed or unknown key.
result<const known_account*> authenticate_caller(
    const account_knowledge& knowledge,
    const request_credentials& credentials,
    bool route_is_public);

} // namespace hemlockshelf

#endif
