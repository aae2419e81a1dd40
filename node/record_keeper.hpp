#ifndef HEMLOCKSHELF_NODE_RECORD_KEEPER_HPP
#define HEMLOCKSHELF_NODE_RECORD_KEEPER_HPP

#include <vector>

#include "hemlockshelf/membership/upstream_lifecycle.hpp"
#include "node/control_context.hpp"
#include "node/local_upstream.hpp"
#include "node/push_agent.hpp"

namespace hemlockshelf {

/// Writes this node's record and merges those of others.
class record_keeper
{
public:
    record_keeper(
        control_context& context,
        push_agent& pushes,
        const local_upstream& upstream);

    /// Brings the own record up to date and spreads it if it changed.
    void refresh();

    /// Spreads the own record as it is.
    void announce();

    /// Merges updates and returns those that were newer than what was held. An
    /// update that claims this node is down or has a newer version is refuted.
    std::vector<member_update> merge(const std::vector<member_update>& updates);

    /// Tells the other nodes whether this one has lost the platform.
    void note_platform(bool lost);

    void drain();
    void leave();

    [[nodiscard]] incarnation own_incarnation() const noexcept
    {
        return record_.incarnation_;
    }

private:
    bool merge_other(const member_update& update);
    void publish(member_record next);
    void refute(const member_update& claim);

    control_context& context_;
    push_agent& pushes_;
    const local_upstream& upstream_;
    upstream_lifecycle lifecycle_;
    member_record record_;
};

} // namespace hemlockshelf

#endif
