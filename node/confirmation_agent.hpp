#ifndef HEMLOCKSHELF_NODE_CONFIRMATION_AGENT_HPP
#define HEMLOCKSHELF_NODE_CONFIRMATION_AGENT_HPP

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "hemlockshelf/accounts/credential_lease.hpp"
#include "hemlockshelf/dissemination/configuration_lease.hpp"
#include "node/control_context.hpp"
#include "node/publication_readers.hpp"
#include "node/repair_agent.hpp"

namespace hemlockshelf {

/// Leases of a node on what it has received.
struct node_leases
{
    credential_lease& accounts_;
    configuration_lease& configuration_;
};

/// Renews the node's leases: readers of the platform confirm that their
/// configuration, and the accounts in it, are current, and the other nodes ask
/// them, so that the platform's load does not grow with the deployment. Used on
/// the control loop only.
class confirmation_agent
{
public:
    /// `read_platform` makes the node read the platform by itself.
    confirmation_agent(
        control_context& context,
        const publication_readers& readers,
        repair_agent& repairs,
        node_leases leases,
        std::function<void()> read_platform);

    /// Asks other nodes for a confirmation if one is due. Called often.
    void tick();

    /// Records that at `at` no revision above `newest` was published. Has no
    /// effect on the leases until that revision is in force.
    void record(revision newest, boot_time at);

    /// Records whether the platform has lost the configuration in force, so
    /// that its answers confirm nothing.
    void set_platform_behind(bool behind);

    /// Records what a peer's answer tells of the platform: its era and, if it
    /// has one, the confirmation. The heartbeat was sent at `asked_at`; the
    /// answer may have been delayed.
    void record_answer(const heartbeat_message& answer, boot_time asked_at);

    /// Returns the age of the node's confirmation, for a peer that asks.
    [[nodiscard]] std::optional<std::chrono::milliseconds> age() const;

private:
    struct pending_confirmation
    {
        revision newest_;
        boot_time at_;
    };

    void apply_pending();
    [[nodiscard]] bool uses_accounts() const;
    /// Returns whether a node is believed to read the platform.
    [[nodiscard]] bool has_readers() const;
    [[nodiscard]] bool reads_platform() const;
    void update_outlook();
    void report_accounts();
    void report_configuration();
    /// Returns the nodes to ask now, on request also a random reader and a
    /// random member of the failure domain.
    [[nodiscard]] std::vector<vm_id> choose_sources(bool include_random);
    [[nodiscard]] bool is_first_level() const;
    void ask(const vm_id& vm);
    void read_platform_if_due(std::chrono::nanoseconds unconfirmed_for);

    control_context& context_;
    const publication_readers& readers_;
    repair_agent& repairs_;
    node_leases leases_;
    std::function<void()> read_platform_;
    std::optional<pending_confirmation> pending_;
    boot_time next_ask_{};
    boot_time next_read_{};
    /// First tick after the node has joined.
    std::optional<boot_time> active_since_;
    /// The latest confirmation, whether or not this node runs its revision, and
    /// when it was received.
    boot_time latest_ = boot_time::min();
    std::optional<boot_time> heard_at_;
    /// Number of times that nodes were asked.
    std::size_t rounds_ = 0;
    bool platform_is_behind_ = false;
    bool accounts_were_valid_ = false;
    bool configuration_was_valid_ = true;
};

} // namespace hemlockshelf

#endif
