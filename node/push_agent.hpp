#ifndef HEMLOCKSHELF_NODE_PUSH_AGENT_HPP
#define HEMLOCKSHELF_NODE_PUSH_AGENT_HPP

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "node/contact_tracker.hpp"
#include "node/control_context.hpp"

namespace hemlockshelf {

/// Sends deltas and member records to other nodes along a tree per push.
class push_agent
{
public:
    push_agent(control_context& context, contact_tracker& contacts);

    /// Starts a push of deltas.
    void
    push_deltas(const std::vector<accepted_delta>& deltas, push_scope scope);

    /// Starts a push of deltas to the whole fleet. Other failure domains and
    /// regions are offered the revision first, and are sent what they lack.
    void publish_deltas(const std::vector<accepted_delta>& deltas);

    /// Adds records to the next batch, which is pushed within milliseconds.
    void push_records(std::vector<member_update> records);

    using completion_handler = std::function<void(bool)>;

    /// Sends records to one member, which does not forward them. `done` is
    /// called with whether it holds them.
    void send_records(
        const peer_address& peer,
        std::vector<member_update> records,
        completion_handler done = {});

    /// Forwards a push to the part of the tree that this node is responsible
    /// for, unless it has forwarded that part before.
    void forward(push_message message);

private:
    void forward(push_message message, bool offer_to_other_domains);
    /// Sends the message to each target. Messages to other failure domains may
    /// start with an offer, which contains no deltas.
    void send_to_targets(
        const push_message& message,
        std::vector<push_target> targets,
        bool offer_to_other_domains);
    [[nodiscard]] push_message make_push(
        const std::vector<accepted_delta>& deltas, push_scope scope) const;
    /// A member that answered an offer and the revision that it holds.
    struct offer_answer
    {
        std::size_t candidate_ = 0;
        revision held_;
    };

    struct push_task
    {
        push_message message_;
        push_target target_;
        /// The candidate to be asked next.
        std::size_t next_ = 0;
        /// Messages that have not been answered and have not failed.
        std::size_t outstanding_ = 0;
        /// Whether the first candidate is sent an offer as well.
        bool offer_ = false;
        /// The candidate that lacks the revision and is being sent it.
        std::optional<std::size_t> receiver_;
        /// Another candidate that lacks the revision.
        std::optional<offer_answer> fallback_;
        /// Whether a candidate holds the revision, or none is left to be asked.
        bool ended_ = false;
    };

    using push_task_pointer = std::shared_ptr<push_task>;

    void flush_records();
    bool is_duplicate(const push_assignment& duty);
    /// Members of failure domains that count as unreachable are included if
    /// there is no other way to reach them.
    [[nodiscard]] std::vector<tree_member>
    members_in_scope(push_scope scope, bool include_unreachable) const;
    /// Sends the task's message to the next candidate, or an offer of it.
    void ask_next(const push_task_pointer& task);
    void send(
        const push_task_pointer& task,
        std::size_t candidate,
        push_message message);
    void on_answer(
        const push_task_pointer& task,
        std::size_t candidate,
        bool was_offer,
        const result<revision>& answer);
    void on_failure(const push_task_pointer& task);
    void
    on_offer_answer(const push_task_pointer& task, const offer_answer& answer);
    void deliver(const push_task_pointer& task, const offer_answer& answer);
    void add_missing_deltas(push_message& message, revision held) const;
    [[nodiscard]] std::chrono::milliseconds
    deadline_for(const push_task& task) const;
    [[nodiscard]] std::size_t attempts_for(const push_task& task) const;
    /// Returns whether the next candidate is asked before the one before it has
    /// failed.
    [[nodiscard]] bool is_hedged(const push_task& task) const;
    [[nodiscard]] bool is_local(const push_target& target) const;

    control_context& context_;
    contact_tracker& contacts_;
    std::vector<member_update> batch_;
    std::deque<push_assignment> recent_duties_;
};

} // namespace hemlockshelf

#endif
