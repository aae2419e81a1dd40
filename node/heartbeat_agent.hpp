#ifndef HEMLOCKSHELF_NODE_HEARTBEAT_AGENT_HPP
#define HEMLOCKSHELF_NODE_HEARTBEAT_AGENT_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "hemlockshelf/membership/failure_detector.hpp"
#include "node/contact_tracker.hpp"
#include "node/control_context.hpp"
#include "node/push_agent.hpp"
#include "node/repair_agent.hpp"

namespace hemlockshelf {

/// Monitors neighbours, has suspicions confirmed and answers heartbeats and
/// probes.
class heartbeat_agent
{
public:
    heartbeat_agent(
        control_context& context,
        push_agent& pushes,
        repair_agent& repairs,
        contact_tracker& contacts);

    /// Sends a heartbeat to each neighbour.
    void send_heartbeats();

    heartbeat_message on_heartbeat(const heartbeat_message& request);

    /// Tells through `answer` whether this node reaches the target.
    void
    on_probe(const probe_request& request, std::function<void(bool)> answer);

    /// Time of the last heartbeat or answer from another node, or of the last
    /// `reset`.
    [[nodiscard]] steady_time last_contact() const noexcept
    {
        return last_contact_;
    }

    /// Forgets missed heartbeats, after this node itself was paused.
    void reset();

private:
    struct vote
    {
        vm_id target_;
        incarnation incarnation_;
        confirmation_counts answers_;
        std::size_t outstanding_ = 0;
    };

    void choose_watched();
    void send_heartbeat(const vm_id& vm);
    void watch_predecessor();
    void on_answer(const vm_id& vm, const heartbeat_message& answer);
    void on_missed(const vm_id& vm);
    void confirm(const vm_id& vm, incarnation seen);
    std::vector<vm_id> choose_confirming(const vm_id& suspect);
    void finish_vote(const vote& result);
    void report_down(const vm_id& vm, incarnation seen);

    control_context& context_;
    push_agent& pushes_;
    repair_agent& repairs_;
    contact_tracker& contacts_;
    std::shared_ptr<const member_table::entry_pointers> domain_members_;
    std::vector<vm_id> neighbours_;
    std::optional<vm_id> predecessor_;
    /// Last heartbeat of the predecessor, or the time at which it became so.
    steady_time predecessor_heard_;
    steady_time last_contact_;
    std::map<vm_id, neighbour_health> watches_;
};

} // namespace hemlockshelf

#endif
