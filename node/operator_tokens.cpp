#include "node/operator_tokens.hpp"

#include <optional>

#include <openssl/crypto.h>

#include "hemlockshelf/accounts/key_hash.hpp"

namespace hemlockshelf {

namespace {

constexpr std::string_view bearer = "Bearer ";

bool equal_in_constant_time(const std::string& left, const std::string& right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

result<client_account_id> authenticate(
    const std::map<client_account_id, std::string>& token_hashes,
    std::string_view authorization)
{
    std::optional<client_account_id> found;
    if (authorization.starts_with(bearer))
    {
        const auto given = sha256_hex(authorization.substr(bearer.size()));
        for (const auto& [account, hash] : token_hashes)
        {
            if (equal_in_constant_time(given, hash))
            {
                found = account;
            }
        }
    }
    if (!found)
    {
        return make_error(
            error_kind::unauthorized,
            "authorization: expected the bearer token of an account");
    }
    return *found;
}

} // namespace hemlockshelf
