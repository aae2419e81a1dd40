#ifndef HEMLOCKSHELF_NODE_PUSH_COORDINATOR_HPP
#define HEMLOCKSHELF_NODE_PUSH_COORDINATOR_HPP

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "adapters/rpc/config_payload.hpp"
#include "adapters/rpc/control_messages.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "node/control_context.hpp"
#include "node/push_agent.hpp"
#include "node/repair_agent.hpp"

namespace hemlockshelf {

/// Applies pushed revisions, and pushes the revisions that this node accepted
/// by edit or read from the platform. Used on the control loop only.
class push_coordinator
{
public:
    push_coordinator(
        control_context& context, push_agent& pushes, repair_agent& repairs);

    /// Applies the deltas of a push and then calls `done`. If they cannot be
    /// applied, fetches from the sender and then, if its answer was not enough,
    /// from the origin. `done` is called once, at the latest when a fetch has
    /// taken longer than a push may wait.
    void apply_push(const push_message& request, std::function<void()> done);

    /// Pushes deltas of an edit that this node accepted to the whole fleet.
    void push_accepted(const std::vector<accepted_delta>& deltas);

    /// Pushes polled deltas within the failure domain, unless the accepting
    /// node's push arrives first.
    void push_polled(const std::vector<accepted_delta>& deltas);

    /// Pushes a published revision that this node has read to the whole fleet,
    /// unless the push of a reader before it in rank arrives first. `rank` is
    /// this node's rank among the readers, if it is one.
    void push_published(
        const std::vector<accepted_delta>& deltas,
        std::optional<std::size_t> rank);

private:
    /// Fetches what is missing to apply the deltas of a push.
    void fetch_missing(
        const push_message& request, const std::function<void()>& done);
    /// Returns a function that calls `task` when it is called first, or after
    /// `limit` if it is not called until then.
    std::function<void()> call_once_within(
        std::chrono::milliseconds limit, std::function<void()> task);
    /// Pushes the deltas after `delay`, unless they or newer ones have been
    /// pushed by then.
    void push_after(
        const std::vector<accepted_delta>& deltas,
        push_scope scope,
        std::chrono::milliseconds delay);
    void
    push_if_newer(const std::vector<accepted_delta>& deltas, push_scope scope);
    void record_pushed(revision number);

    control_context& context_;
    push_agent& pushes_;
    repair_agent& repairs_;
    /// Highest revision that was pushed to or by this node.
    revision last_pushed_;
};

} // namespace hemlockshelf

#endif
