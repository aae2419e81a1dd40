#ifndef HEMLOCKSHELF_QUOTA_TOKEN_GRANTOR_HPP
#define HEMLOCKSHELF_QUOTA_TOKEN_GRANTOR_HPP

#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/quota/quota_settings.hpp"

namespace hemlockshelf {

/// Answer of a grantor to a request for tokens.
struct token_grant
{
    std::uint32_t granted_ = 0;
    /// Time until the grantor has another token; 0 if it granted all that was
    /// requested.
    std::chrono::milliseconds wait_{0};
    /// Whether the grantor does not know the account, so that the answer says
    /// nothing about its quota.
    bool unknown_account_ = false;

    friend bool operator==(const token_grant&, const token_grant&) = default;
};

/// Grants the tokens of one failure domain's part of every quota. A token
/// admits one request. Not thread-safe.
class token_grantor
{
public:
    /// `now` is when the node has become the grantor: its buckets were empty
    /// then, because the tokens of the previous grantor may still be in use.
    token_grantor(const quota_settings& settings, boot_time now);

    /// Grants up to `count` tokens of an account. `quota` is the account's
    /// current one, which may differ from that of earlier calls.
    token_grant grant(
        const client_account_id& account,
        const account_quota& quota,
        std::uint32_t count,
        boot_time now);

private:
    struct token_bucket_state
    {
        double tokens_ = 0;
        boot_time refilled_at_;
    };

    double parts_;
    boot_time since_;
    std::unordered_map<client_account_id, token_bucket_state> buckets_;
};

} // namespace hemlockshelf

#endif
