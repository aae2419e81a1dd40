#include "hemlockshelf/quota/share_lender.hpp"

#include <algorithm>

namespace hemlockshelf {

namespace {

constexpr std::chrono::milliseconds bound_time =
    share_loan_time + share_loan_margin;

} // namespace

share_lender::share_lender(boot_time started)
    : bound_until_(started + bound_time)
{}

bool share_lender::lend(const vm_id& borrower, boot_time now)
{
    if (now < bound_until_ && borrower_ != borrower)
    {
        return false;
    }
    borrower_ = borrower;
    bound_until_ = std::max(bound_until_, now + bound_time);
    return true;
}

void share_lender::release(const vm_id& borrower)
{
    if (borrower_ == borrower)
    {
        borrower_.reset();
        bound_until_ = boot_time::min();
    }
}

} // namespace hemlockshelf
