#ifndef HEMLOCKSHELF_EDITING_SUBMISSION_LIMITER_HPP
#define HEMLOCKSHELF_EDITING_SUBMISSION_LIMITER_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/editing/editing_settings.hpp"

namespace hemlockshelf {

/// Limits the rate and concurrency of the edits of each client account on this
/// node, before an edit causes a request to the platform. Thread-safe.
class submission_limiter
{
public:
    /// Permit for one edit; releases its concurrency slot on destruction.
    using permit = std::shared_ptr<void>;

    explicit submission_limiter(edit_quotas quotas);

    /// Admits an edit. The error is `rate_limited`.
    result<permit> admit(const client_account_id& account, steady_time now);

private:
    struct account_state
    {
        std::uint32_t concurrent_ = 0;
        /// Tokens of a token bucket; each submitted edit takes one.
        double tokens_ = 0;
        steady_time refilled_;
    };

    account_state& refill(const client_account_id& account, steady_time now);
    void release(const client_account_id& account);

    edit_quotas quotas_;
    std::mutex mutex_;
    std::map<client_account_id, account_state> accounts_;
};

} // namespace hemlockshelf

#endif
