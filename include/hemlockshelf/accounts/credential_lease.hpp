#ifndef HEMLOCKSHELF_ACCOUNTS_CREDENTIAL_LEASE_HPP
#define HEMLOCKSHELF_ACCOUNTS_CREDENTIAL_LEASE_HPP

#include <chrono>
#include <optional>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/latest_confirmation.hpp"

namespace hemlockshelf {

/// Settings of client accounts.
struct account_settings
{
    /// Time after which a withdrawn API key must not be accepted anywhere; 0
    /// sets no limit.
    std::chrono::milliseconds revocation_limit_{0};
};

/// Limits the time for which a node relies on its accounts without a
/// confirmation that they are current. A node that is cut off, paused or
/// restarted could otherwise accept a key that was withdrawn meanwhile.
/// Thread-safe.
class credential_lease
{
public:
    explicit credential_lease(const account_settings& settings);

    /// Records that no newer accounts than those in force were published at
    /// `at`, which must not be later than the true time of the observation.
    /// Earlier confirmations than the last one have no effect.
    void confirm(boot_time at);

    /// Returns whether the node may rely on its accounts.
    [[nodiscard]] bool is_valid(boot_time now) const;

    /// Returns the time since the last confirmation, or nothing if there was
    /// none.
    [[nodiscard]] std::optional<std::chrono::nanoseconds>
    age(boot_time now) const;

    /// Returns whether there is a limit at all.
    [[nodiscard]] bool is_limited() const noexcept
    {
        return duration_.count() > 0;
    }

private:
    std::chrono::nanoseconds duration_;
    latest_confirmation confirmed_;
};

} // namespace hemlockshelf

#endif
