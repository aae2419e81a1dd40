#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_REQUEST_QUOTA_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_REQUEST_QUOTA_HPP

#include <functional>
#include <optional>

#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/quota/quota_settings.hpp"

namespace hemlockshelf {

/// Admits requests within the quotas of client accounts. Thread-safe.
class request_quota
{
public:
    using callback = std::function<void(result<void>)>;

    virtual ~request_quota() = default;

    /// Decides at once, if the node knows enough. The error is
    /// `quota_exceeded`, with the time until the account may send again.
    virtual std::optional<result<void>>
    try_admit(const client_account_id& account, const account_quota& quota) = 0;

    /// Decides once other nodes have been asked, after a short time at most.
    /// Only after `try_admit` did not decide. `done` is called at most once,
    /// from any thread; not at all if the decision comes too late to be used.
    /// The errors are `quota_exceeded` and `quota_unavailable`.
    virtual void admit_later(
        const client_account_id& account,
        const account_quota& quota,
        callback done) = 0;

protected:
    request_quota() = default;
    request_quota(const request_quota&) = default;
    request_quota& operator=(const request_quota&) = default;
};

} // namespace hemlockshelf

#endif
