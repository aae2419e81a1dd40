#ifndef HEMLOCKSHELF_QUOTA_BORROWED_SHARES_HPP
#define HEMLOCKSHELF_QUOTA_BORROWED_SHARES_HPP

#include <chrono>
#include <set>
#include <unordered_map>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// The shares that a grantor has borrowed from the nodes of its failure domain
/// (`share_lender`), and for how long. Not thread-safe.
class borrowed_shares
{
public:
    /// Sets the nodes among which the part of the failure domain is divided.
    /// They include all that may lend their shares to another grantor, also
    /// those that do not answer.
    void set_members(std::set<vm_id> members, boot_time now);

    /// Records a loan that lasts until `until`. Loans of nodes that are not
    /// members have no effect.
    void record_loan(const vm_id& lender, boot_time until, boot_time now);

    /// Returns the borrowed share of the part, from 0 to 1.
    [[nodiscard]] double share(boot_time now) const;

    /// Returns the integral of the share over time, up to `now`: the time for
    /// which the whole part would have yielded as many tokens. Times before
    /// those of earlier calls have no effect.
    std::chrono::duration<double> accrued(boot_time now);

private:
    struct loan
    {
        boot_time until_;
        /// Time up to which the loan is contained in `accrued_`.
        boot_time counted_to_;
    };

    std::set<vm_id> members_;
    std::unordered_map<vm_id, loan> loans_;
    std::chrono::duration<double> accrued_{0};
};

} // namespace hemlockshelf

#endif
