#include "hemlockshelf/accounts/authentication.hpp"

#include <algorithm>
#include <string>

#include <fmt/format.h>

#include "hemlockshelf/accounts/key_hash.hpp"

namespace hemlockshelf {

namespace {

constexpr std::string_view bearer_scheme = "bearer";

// Enough to find a key's hash in a dump of the accounts.
constexpr std::size_t logged_hash_digits = 12;

char to_lower(char character)
{
    return character >= 'A' && character <= 'Z'
               ? static_cast<char>(character - 'A' + 'a')
               : character;
}

/// Returns the key of a value of the form `Bearer KEY`, or an empty text.
std::string_view parse_bearer_key(std::string_view value)
{
    const auto separator = value.find(' ');
    if (separator == std::string_view::npos ||
        !std::ranges::equal(
            value.substr(0, separator), bearer_scheme, {}, to_lower))
    {
        return {};
    }
    const auto begin = value.find_first_not_of(' ', separator);
    return begin == std::string_view::npos ? std::string_view{}
                                           : value.substr(begin);
}

result<const known_account*> find_holder(
    const account_knowledge& knowledge, const request_credentials& credentials)
{
    const auto key = parse_bearer_key(credentials.authorization_);
    if (key.empty() || key.size() > max_api_key_bytes)
    {
        return make_error(
            error_kind::unauthorized,
            fmt::format(
                "Authorization: expected \"Bearer\" and an API key of 1 to {} "
                "bytes",
                max_api_key_bytes));
    }
    const auto hash = sha256_hex(key);
    const auto* account = knowledge.accounts_.find(knowledge.owner_, hash);
    if (account == nullptr)
    {
        return make_error(
            error_kind::unauthorized,
            fmt::format(
                "Authorization: no account holds the API key with the SHA-256 "
                "{}...",
                hash.substr(0, logged_hash_digits)));
    }
    return account;
}

} // namespace

result<const known_account*> authenticate_caller(
    const account_knowledge& knowledge,
    const request_credentials& credentials,
    bool route_is_public)
{
    if (!knowledge.accounts_.has_accounts(knowledge.owner_))
    {
        return nullptr;
    }
    if (credentials.fields_ > 1)
    {
        return make_error(
            error_kind::bad_request,
            fmt::format(
                "Authorization: expected one field, given {}",
                credentials.fields_));
    }
    if (!knowledge.confirmed_)
    {
        if (route_is_public)
        {
            return nullptr;
        }
        return make_error(
            error_kind::credentials_unconfirmed,
            "the node could not confirm its accounts for too long");
    }
    auto account = find_holder(knowledge, credentials);
    if (!account && route_is_public)
    {
        return nullptr;
    }
    return account;
}

} // namespace hemlockshelf
