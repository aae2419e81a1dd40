#ifndef HEMLOCKSHELF_NODE_CONFIRMATION_AGENT_HPP
#define HEMLOCKSHELF_NODE_CONFIRMATION_AGENT_HPP

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

#include "hemlockshelf/accounts/credential_lease.hpp"
#include "node/control_context.hpp"
#include "node/publication_readers.hpp"

namespace hemlockshelf {

/// Renews the node's credential lease: readers of the platform confirm that
/// their accounts are current, and the other nodes ask them, so that the
/// platform's load does not grow with the deployment. Idle while no accounts
/// are in force. Used on the control loop only.
class confirmation_agent
{
public:
    /// `read_platform` makes the node read the platform by itself.
    confirmation_agent(
        control_context& context,
        const publication_readers& readers,
        credential_lease& lease,
        std::function<void()> read_platform);

    /// Asks other nodes for a confirmation if one is due. Called often.
    void tick();

    /// Records that at `at` no revision above `newest` was published. Has no
    /// effect on the lease until that revision is in force.
    void record(revision newest, boot_time at);

    /// Returns the age of the node's confirmation, for a peer that asks.
    [[nodiscard]] std::optional<std::chrono::milliseconds> age() const;

private:
    struct pending_confirmation
    {
        revision newest_;
        boot_time at_;
    };

    void apply_pending();
    void report_state();
    /// Returns the nodes to ask now.
    [[nodiscard]] std::vector<vm_id> choose_sources(bool is_late);
    void ask(const vm_id& vm);
    void read_platform_if_due(std::chrono::nanoseconds unconfirmed_for);

    control_context& context_;
    const publication_readers& readers_;
    credential_lease& lease_;
    std::function<void()> read_platform_;
    std::optional<pending_confirmation> pending_;
    boot_time next_ask_{};
    boot_time next_read_{};
    /// First tick with accounts in force.
    std::optional<boot_time> active_since_;
    bool was_valid_ = false;
};

} // namespace hemlockshelf

#endif
