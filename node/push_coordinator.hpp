#ifndef HEMLOCKSHELF_NODE_PUSH_COORDINATOR_HPP
#define HEMLOCKSHELF_NODE_PUSH_COORDINATOR_HPP

#include <chrono>
#include <vector>

#include "adapters/rpc/config_payload.hpp"
#include "adapters/rpc/control_messages.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "node/control_context.hpp"
#include "node/push_agent.hpp"
#include "node/repair_agent.hpp"

namespace hemlockshelf {

/// Takes revisions that arrive by push, by edit or by poll, and pushes on those
/// that start here. Used on the control loop only.
class push_coordinator
{
public:
    push_coordinator(
        control_context& context, push_agent& pushes, repair_agent& repairs);

    /// Applies the deltas of a push. Fetches from its sender if they do not
    /// apply.
    void apply_push(const push_message& request);

    /// Pushes deltas of an edit that this node accepted to the whole fleet.
    void push_accepted(const std::vector<accepted_delta>& deltas);

    /// Pushes polled deltas within the failure domain, unless the accepting
    /// node's push arrives first.
    void push_polled(const std::vector<accepted_delta>& deltas);

    /// Pushes a published revision that this node has read within the failure
    /// domain, unless an earlier reader's push arrives first, and offers it to
    /// the others.
    void push_published(const std::vector<accepted_delta>& deltas);

private:
    /// Pushes the deltas after `delay`, unless another push came first.
    void push_after(
        const std::vector<accepted_delta>& deltas,
        std::chrono::milliseconds delay);
    void push_if_newer(const std::vector<accepted_delta>& deltas);
    /// Offers the deltas, or those that follow until then, after `delay`.
    void schedule_offer(
        const std::vector<accepted_delta>& deltas,
        std::chrono::milliseconds delay);
    void note_pushed(revision number);

    control_context& context_;
    push_agent& pushes_;
    repair_agent& repairs_;
    /// Highest revision that was pushed to or by this node.
    revision last_pushed_;
    /// What the planned offer will contain; empty if none is planned.
    std::vector<accepted_delta> scheduled_offer_;
};

} // namespace hemlockshelf

#endif
