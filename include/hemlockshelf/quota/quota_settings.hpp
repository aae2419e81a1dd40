#ifndef HEMLOCKSHELF_QUOTA_QUOTA_SETTINGS_HPP
#define HEMLOCKSHELF_QUOTA_QUOTA_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace hemlockshelf {

/// Settings of the quotas of client accounts, which hold over all nodes.
struct quota_settings
{
    /// Window in which an account's requests are counted; 0 turns quotas off.
    std::chrono::milliseconds window_{0};
    /// Share by which the requests in a window may exceed the quota.
    double overage_ = 0.1;
    /// Failure domains of the deployment. Each may grant an equal part of every
    /// quota, whether the other ones are known yet or not.
    std::size_t failure_domains_ = 1;
};

/// Quota of one account.
struct account_quota
{
    /// Requests per second.
    double rate_ = 0;
    /// Requests beyond the rate at once.
    double burst_ = 0;

    friend bool
    operator==(const account_quota&, const account_quota&) = default;
};

} // namespace hemlockshelf

#endif
