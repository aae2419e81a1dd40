#ifndef HEMLOCKSHELF_QUOTA_TOKEN_GRANTOR_HPP
#define HEMLOCKSHELF_QUOTA_TOKEN_GRANTOR_HPP

#include <chrono>
#include <cstdint>
#include <set>
#include <unordered_map>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/quota/borrowed_shares.hpp"
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

/// Grants the tokens of one failure domain's part of every quota, in proportion
/// to the shares that the domain's nodes have lent it. A token admits one
/// request. Not thread-safe.
class token_grantor
{
public:
    /// The buckets of a new grantor are empty, because the tokens of the
    /// previous one may still be in use.
    explicit token_grantor(const quota_settings& settings);

    /// Sets the nodes of the failure domain, as for `borrowed_shares`.
    void set_members(std::set<vm_id> members, boot_time now);

    /// Records that a node has lent its share until `until`.
    void record_loan(const vm_id& lender, boot_time until, boot_time now);

    /// Adapts the buckets to loans that have begun or ended. Must be called
    /// often, so that tokens are not kept for the next loan.
    void update(boot_time now);

    /// Returns the borrowed share of the part, from 0 to 1.
    [[nodiscard]] double share(boot_time now) const
    {
        return shares_.share(now);
    }

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
        /// Value of `borrowed_shares::accrued` up to which the bucket is
        /// filled.
        std::chrono::duration<double> filled_to_{0};
        account_quota quota_;
    };

    [[nodiscard]] double capacity(const account_quota& quota) const;
    /// Requires that `share_` is up to date.
    void fill(token_bucket_state& bucket, std::chrono::duration<double> accrued)
        const;

    double parts_;
    borrowed_shares shares_;
    /// The share by which the buckets are limited.
    double share_ = 0;
    std::unordered_map<client_account_id, token_bucket_state> buckets_;
};

} // namespace hemlockshelf

#endif
