#ifndef HEMLOCKSHELF_QUOTA_SHARE_LENDER_HPP
#define HEMLOCKSHELF_QUOTA_SHARE_LENDER_HPP

#include <chrono>
#include <optional>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// How long a loan of a share lasts. The borrower counts from its question, the
/// lender from its answer, so that the borrower's time ends first. A longer
/// time would delay grants after a restart, since a new process waits for as
/// long.
inline constexpr std::chrono::milliseconds share_loan_time{1000};

/// Added by the lender, because clocks may run at different rates.
inline constexpr std::chrono::milliseconds share_loan_margin{50};

/// Lends the share of one node to one grantor at a time. The part of a failure
/// domain in a quota is divided into equal shares, one for each of its nodes,
/// and a grantor grants in proportion to those that it has borrowed. Nodes with
/// different opinions of who is the grantor therefore do not grant more than
/// the part together. Not thread-safe.
class share_lender
{
public:
    /// `started` is the start of the process. An earlier process may have lent
    /// the share shortly before, so that nothing is lent for the time of a
    /// loan.
    explicit share_lender(boot_time started);

    /// Returns whether the share is lent to this node, for `share_loan_time`
    /// from the question on.
    bool lend(const vm_id& borrower, boot_time now);

    /// Ends the loan to a node that has stopped granting, if it has one.
    void release(const vm_id& borrower);

    /// Returns the node that has had the last loan, if there was one.
    [[nodiscard]] const std::optional<vm_id>& borrower() const noexcept
    {
        return borrower_;
    }

private:
    std::optional<vm_id> borrower_;
    /// Until then the share is lent to nobody but the borrower.
    boot_time bound_until_;
};

} // namespace hemlockshelf

#endif
