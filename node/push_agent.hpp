#ifndef HEMLOCKSHELF_NODE_PUSH_AGENT_HPP
#define HEMLOCKSHELF_NODE_PUSH_AGENT_HPP

#include <cstddef>
#include <deque>
#include <memory>
#include <vector>

#include "node/contact_tracker.hpp"
#include "node/control_context.hpp"

namespace hemlockshelf {

/// Sends changes along the tree of each push.
class push_agent
{
public:
    push_agent(control_context& context, contact_tracker& contacts);

    /// Starts a push of deltas.
    void
    push_deltas(const std::vector<accepted_delta>& deltas, push_scope scope);

    /// Offers deltas to the other failure domains and regions, which get them
    /// if they lack them.
    void offer_deltas(const std::vector<accepted_delta>& deltas);

    /// Adds records to the next push, which starts within milliseconds.
    void push_records(std::vector<member_update> records);

    /// Sends records to one member, which does not pass them on.
    void
    send_records(const peer_address& peer, std::vector<member_update> records);

    /// Passes a push on to the part of the tree that this node serves. Parts
    /// that it has passed on before are left out.
    void forward(push_message message);

private:
    /// Sends the message along each leg. Legs to other failure domains may
    /// begin with an offer, which holds no deltas.
    void start_legs(
        const push_message& message,
        std::vector<push_target> legs,
        bool offer_to_other_domains);
    [[nodiscard]] push_message make_push(
        const std::vector<accepted_delta>& deltas, push_scope scope) const;
    struct leg_task
    {
        push_message message_;
        push_target leg_;
        std::size_t candidate_ = 0;
        bool offer_ = false;
    };

    void flush_records();
    bool is_repeated(const push_assignment& duty);
    std::vector<tree_member> view_for(push_scope scope) const;
    void send(const std::shared_ptr<leg_task>& task);
    void on_answer(
        const std::shared_ptr<leg_task>& task, const result<revision>& answer);
    [[nodiscard]] std::size_t attempts_for(const push_target& leg) const;
    [[nodiscard]] bool is_local(const push_target& leg) const;

    control_context& context_;
    contact_tracker& contacts_;
    std::vector<member_update> batch_;
    std::deque<push_assignment> recent_;
};

} // namespace hemlockshelf

#endif
