#ifndef HEMLOCKSHELF_DISSEMINATION_CONFIGURATION_LEASE_HPP
#define HEMLOCKSHELF_DISSEMINATION_CONFIGURATION_LEASE_HPP

#include <atomic>
#include <chrono>
#include <optional>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/latest_confirmation.hpp"

namespace hemlockshelf {

/// Time for which a node relies on its configuration after a confirmation that
/// no newer one was published. A published configuration must be in force
/// within 3 s; the rest is for the time between the check of a call and its
/// dispatch.
constexpr std::chrono::milliseconds configuration_lifetime{2800};

/// What a node knows of the nodes that could confirm its configuration.
struct confirmation_outlook
{
    /// Whether it has heard of a revision that it does not run and has not
    /// refused.
    bool knows_newer_ = false;
    /// Whether it reads the platform itself, which has answered its last call
    /// and has not lost the configuration in force.
    bool reads_platform_ = false;
    /// Whether it believes that a node reads the platform.
    bool has_readers_ = false;
    /// Time since it received a confirmation that is later than all before,
    /// however old; nothing if it never did.
    std::optional<std::chrono::nanoseconds> since_heard_;
    /// Recent delay of its own control loop.
    std::chrono::nanoseconds loop_delay_{0};
};

/// Returns whether a node whose configuration has not been confirmed for longer
/// than `configuration_lifetime` may still handle calls by it. It may if it is
/// cut off, or if no node reaches the platform: the callers have no better node
/// then. It may not if it knows of a newer revision, or if other nodes could
/// confirm it and it is too slow to hear them in time.
bool may_rely_unconfirmed(const confirmation_outlook& outlook);

/// Limits the time for which a node handles calls by a configuration that may
/// have been replaced. A node without processor time could otherwise go on with
/// an old version for as long as it is slow. Thread-safe.
class configuration_lease
{
public:
    /// Records that no newer configuration than the one in force was published
    /// at `at`. Earlier confirmations than the last one have no effect.
    void confirm(boot_time at);

    /// Sets what decides when the last confirmation is too old. Until the first
    /// outlook, and after `require_confirmation`, only confirmations count.
    void set_outlook(confirmation_outlook outlook);
    void require_confirmation();

    /// Returns whether calls may be handled by the configuration in force.
    /// `loop_delay` is the delay of the control loop at the moment, of which
    /// the outlook may not tell yet.
    [[nodiscard]] bool
    is_valid(boot_time now, std::chrono::nanoseconds loop_delay) const;

    /// Returns the time since the last confirmation, or nothing if there was
    /// none.
    [[nodiscard]] std::optional<std::chrono::nanoseconds>
    age(boot_time now) const;

private:
    latest_confirmation confirmed_;
    /// Results of `may_rely_unconfirmed`, the second one if the control loop is
    /// late.
    std::atomic<bool> may_rely_{false};
    std::atomic<bool> may_rely_if_late_{false};
};

} // namespace hemlockshelf

#endif
