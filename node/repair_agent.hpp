#ifndef HEMLOCKSHELF_NODE_REPAIR_AGENT_HPP
#define HEMLOCKSHELF_NODE_REPAIR_AGENT_HPP

#include <algorithm>
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

/// Anti-entropy: detects and fetches what pushes missed, and answers the same
/// requests of peers.
class repair_agent
{
public:
    using completion_handler = std::function<void(bool)>;

    repair_agent(
        control_context& context,
        push_agent& pushes,
        membership_agent& records,
        contact_tracker& contacts);

    /// Contacts random peers when the repair schedule is due.
    void tick();

    /// Contacts random peers at shorter intervals for a while, because this
    /// node has just joined.
    void shorten_intervals();

    /// Contacts the addresses among `contacts` that no member record has.
    void contact_unknown(const std::vector<endpoint>& contacts);

    /// Compares a neighbour's state with this node's and starts a repair if
    /// they differ.
    void compare_with_peer(
        const peer_address& peer, const heartbeat_message& heartbeat);

    /// Fetches newer revisions from a peer.
    void fetch_from(const peer_address& peer, const completion_handler& done);

    /// Exchanges the records that differ with a peer.
    void exchange_records(const peer_address& peer, completion_handler done);

    config_answer on_fetch(const fetch_request& request);
    digest_answer on_digest(const digest_request& request);

    /// Returns the highest revision that a peer or the platform has reported.
    [[nodiscard]] revision highest_seen() const noexcept
    {
        return highest_seen_;
    }

    void record_revision(revision seen);

    /// Returns whether this node has refused the revision or a later one as a
    /// whole, and so goes on with an older one.
    [[nodiscard]] bool has_refused(revision number) const
    {
        return number <= refused_;
    }

    /// Returns whether a revision was reported that this node neither runs nor
    /// has refused.
    [[nodiscard]] bool knows_newer() const
    {
        return highest_seen_ >
               std::max(refused_, context_.config_.current_revision());
    }

    /// Records a peer's revision and fetches it after a short delay if it is
    /// newer.
    void compare_revision(const peer_address& peer, revision peer_revision);

private:
    struct waiting_fetch
    {
        peer_address peer_;
        completion_handler done_;
    };

    [[nodiscard]] bool records_differ(const heartbeat_message& heartbeat) const;
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
    void start_fetch(const peer_address& peer, const completion_handler& done);
    void finish_fetch(const completion_handler& done, bool success);
    /// Starts the waiting fetch if the ones in progress have stalled, or ends
    /// it if nothing is missing any more.
    void start_waiting_fetch();
    [[nodiscard]] bool may_start_fetch() const;
    void on_records(const peer_address& peer, const digest_answer& answer);

    control_context& context_;
    push_agent& pushes_;
    membership_agent& records_;
    contact_tracker& contacts_;
    snapshot_limiter limiter_;
    repair_schedule schedule_;
    /// Index of the next failure domain to contact. Other failure domains are
    /// contacted round-robin from a random start, so that none is left out by
    /// chance.
    std::uint64_t next_domain_;
    revision highest_seen_;
    /// Highest revision that was known when a snapshot was refused.
    revision refused_;
    /// Failure domain to contact next because the last contact with it failed.
    std::optional<failure_domain_id> retried_domain_;
    /// Fetches in progress, and the start of the last one.
    std::size_t fetches_ = 0;
    steady_time last_fetch_;
    /// The last fetch that was requested while others were in progress.
    std::optional<waiting_fetch> waiting_;
    bool fetch_planned_ = false;
    steady_time next_exchange_;
};

} // namespace hemlockshelf

#endif
