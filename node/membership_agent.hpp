#ifndef HEMLOCKSHELF_NODE_MEMBERSHIP_AGENT_HPP
#define HEMLOCKSHELF_NODE_MEMBERSHIP_AGENT_HPP

#include <chrono>
#include <functional>
#include <vector>

#include "hemlockshelf/membership/upstream_lifecycle.hpp"
#include "node/control_context.hpp"
#include "node/local_upstream.hpp"
#include "node/push_agent.hpp"

namespace hemlockshelf {

/// Maintains this node's record and merges the records of other nodes.
class membership_agent
{
public:
    membership_agent(
        control_context& context,
        push_agent& pushes,
        const local_upstream& upstream);

    /// Updates this node's record and pushes it if it changed.
    void refresh();

    /// Pushes this node's record without changing it.
    void announce();

    /// Merges updates and returns those that were newer than the stored
    /// records. Refutes an update that claims that this node is down or that
    /// has a newer version of its record.
    std::vector<member_update> merge(const std::vector<member_update>& updates);

    /// Sets whether this node has lost the platform and pushes its record if
    /// this changed.
    void set_platform_lost(bool lost);

    /// Records a round trip to the platform. Pushes the record if the time is
    /// the first one or less than half of the shortest known.
    void record_platform_round_trip(std::chrono::microseconds elapsed);

    void drain();
    void leave();

    /// Lets the record show the upstream. Until the node has joined, it does
    /// not know what an earlier process has acknowledged to the upstream, and
    /// could announce one that has left.
    void on_joined();

    /// Makes other nodes hold what has been acknowledged to the upstream, so
    /// that it outlasts this process. `done` is called once enough of them do,
    /// or none of those asked is left to answer; at the earliest when the node
    /// has joined.
    void share_upstream(std::function<void()> done);

    [[nodiscard]] incarnation own_incarnation() const noexcept
    {
        return record_.incarnation_;
    }

private:
    bool merge_other(const member_update& update);
    struct share;

    void publish(member_record next);
    void send_to_holders(std::function<void()> done);
    [[nodiscard]] std::vector<peer_address> choose_holders() const;
    void refute(const member_update& claim);

    control_context& context_;
    push_agent& pushes_;
    const local_upstream& upstream_;
    upstream_lifecycle lifecycle_;
    member_record record_;
    bool joined_ = false;
    /// Calls to `share_upstream` before the node has joined.
    std::vector<std::function<void()>> early_shares_;
};

} // namespace hemlockshelf

#endif
