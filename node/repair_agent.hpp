#ifndef HEMLOCKSHELF_NODE_REPAIR_AGENT_HPP
#define HEMLOCKSHELF_NODE_REPAIR_AGENT_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "hemlockshelf/dissemination/repair_schedule.hpp"
#include "hemlockshelf/dissemination/snapshot_limiter.hpp"
#include "node/contact_tracker.hpp"
#include "node/control_context.hpp"
#include "node/membership_agent.hpp"

namespace hemlockshelf {

/// Finds and repairs what pushes missed, and serves peers that do so.
class repair_agent
{
public:
    using completion_handler = std::function<void(bool)>;

    repair_agent(
        control_context& context,
        push_agent& pushes,
        membership_agent& records,
        contact_tracker& contacts);

    /// Contacts random peers when that is due.
    void tick();

    /// Contacts random peers soon and often for a while, because this node has
    /// just joined.
    void hasten();

    /// Contacts the nodes among `contacts` of which no record is held.
    void contact_unknown(const std::vector<endpoint>& contacts);

    /// Compares what a neighbour holds and begins a repair where it differs.
    void
    compare_with_peer(const peer_address& peer, const heartbeat_message& held);

    /// Fetches newer revisions from a peer.
    void fetch_from(const peer_address& peer, const completion_handler& done);

    /// Exchanges the records that differ with a peer.
    void exchange_records(const peer_address& peer, completion_handler done);

    config_answer on_fetch(const fetch_request& request);
    digest_answer on_digest(const digest_request& request);

    /// Returns the highest revision that any peer was seen to hold.
    [[nodiscard]] revision highest_seen() const noexcept
    {
        return highest_seen_;
    }

    void note_revision(revision seen);

    /// Notes the revision that a peer holds and fetches it soon if it is newer.
    void compare_revision(const peer_address& peer, revision held);

private:
    [[nodiscard]] bool records_differ(const heartbeat_message& held) const;
    void contact(const peer_address& peer, std::optional<tree_member> member);
    void contact_member(const vm_id& vm);
    void contact_local();
    void contact_other_domain();
    void contact_configured_peer();
    void fetch(
        const peer_address& peer,
        bool whole,
        int attempt,
        const completion_handler& done);
    void on_config(
        const peer_address& peer,
        int attempt,
        const config_answer& answer,
        const completion_handler& done);
    void finish_fetch(const completion_handler& done, bool success);
    void on_records(const peer_address& peer, const digest_answer& answer);

    control_context& context_;
    push_agent& pushes_;
    membership_agent& records_;
    contact_tracker& contacts_;
    snapshot_limiter limiter_;
    repair_schedule schedule_;
    /// Other failure domains are contacted in turn, from a random one on, so
    /// that none is left out by chance.
    std::uint64_t next_domain_;
    revision highest_seen_;
    /// Failure domain of which the last contact failed.
    std::optional<failure_domain_id> retried_domain_;
    bool fetching_ = false;
    bool fetch_planned_ = false;
    steady_time next_exchange_;
};

} // namespace hemlockshelf

#endif
