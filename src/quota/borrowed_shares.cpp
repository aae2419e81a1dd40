#include "hemlockshelf/quota/borrowed_shares.hpp"

#include <algorithm>
#include <utility>

namespace hemlockshelf {

void borrowed_shares::set_members(std::set<vm_id> members, boot_time now)
{
    accrued(now);
    members_ = std::move(members);
    std::erase_if(
        loans_,
        [this](const auto& item)
        {
            return !members_.contains(item.first);
        });
}

void borrowed_shares::record_loan(
    const vm_id& lender, boot_time until, boot_time now)
{
    if (!members_.contains(lender))
    {
        return;
    }
    accrued(now);
    auto& held = loans_.try_emplace(lender, loan{until, now}).first->second;
    held.until_ = std::max(held.until_, until);
}

double borrowed_shares::share(boot_time now) const
{
    const auto valid = std::ranges::count_if(
        loans_,
        [now](const auto& item)
        {
            return now < item.second.until_;
        });
    return members_.empty() ? 0
                            : static_cast<double>(valid) /
                                  static_cast<double>(members_.size());
}

std::chrono::duration<double> borrowed_shares::accrued(boot_time now)
{
    std::chrono::nanoseconds passed{0};
    for (auto& [lender, held] : loans_)
    {
        const auto to = std::min(now, held.until_);
        passed += std::max(to - held.counted_to_, std::chrono::nanoseconds{0});
        held.counted_to_ = std::max(held.counted_to_, now);
    }
    if (!members_.empty())
    {
        accrued_ += std::chrono::duration<double>(passed) /
                    static_cast<double>(members_.size());
    }
    return accrued_;
}

} // namespace hemlockshelf
