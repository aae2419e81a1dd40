#ifndef HEMLOCKSHELF_NODE_JOIN_AGENT_HPP
#define HEMLOCKSHELF_NODE_JOIN_AGENT_HPP

#include <cstddef>
#include <functional>
#include <vector>

#include "node/control_context.hpp"
#include "node/repair_agent.hpp"

namespace hemlockshelf {

/// Brings a new or resumed node up to date: queries several peers and the
/// platform, and fetches the highest revision.
class join_agent
{
public:
    using acknowledged_handler =
        std::function<void(const acknowledged_upstream&)>;

    /// `query_directory` requests contacts from the platform's directory, which
    /// are passed to `add_contacts` later. `on_acknowledged` gets what peers
    /// tell of the time before this process.
    join_agent(
        control_context& context,
        push_agent& pushes,
        repair_agent& repairs,
        std::function<void()> query_directory,
        acknowledged_handler on_acknowledged);

    /// Restarts the join, with the known members as contacts. If
    /// `needs_platform` is set, it completes only with the platform's revision,
    /// as long as the platform answers.
    void start(bool needs_platform);

    /// Lets the join complete only with the platform's revision from now on.
    void require_platform() noexcept
    {
        needs_platform_ = true;
    }

    /// Queries peers again if none has answered. Returns true once the node is
    /// up to date.
    bool tick();

    void add_contacts(const std::vector<endpoint>& contacts);
    void record_platform_head(revision head);

    /// Returns whether a peer has answered and the records have been exchanged.
    [[nodiscard]] bool knows_members() const noexcept
    {
        return syncing_ && exchanges_ == 0;
    }

    /// Returns whether the node is alone as far as the settings and the
    /// platform's directory say.
    [[nodiscard]] bool is_alone() const noexcept
    {
        return contacts_.empty() && directory_empty_;
    }

    /// Returns whether there are peers to query.
    [[nodiscard]] bool has_contacts() const noexcept
    {
        return !contacts_.empty();
    }

private:
    struct answered_peer
    {
        peer_address peer_;
        revision revision_;
    };

    void query_peers();
    void send_record();
    void on_answer(
        const peer_address& peer, const result<heartbeat_message>& answer);
    void sync_with_peers();
    [[nodiscard]] bool is_complete() const;

    control_context& context_;
    push_agent& pushes_;
    repair_agent& repairs_;
    std::function<void()> query_directory_;
    acknowledged_handler on_acknowledged_;
    std::vector<endpoint> contacts_;
    std::vector<answered_peer> answers_;
    std::size_t unanswered_ = 0;
    std::size_t exchanges_ = 0;
    std::size_t round_ = 0;
    steady_time started_at_;
    steady_time next_round_;
    steady_time next_directory_query_;
    bool directory_queried_ = false;
    bool directory_empty_ = false;
    bool platform_answered_ = false;
    /// Whether the node had a revision before it rejoined.
    bool had_revision_ = false;
    bool needs_platform_ = true;
    bool syncing_ = false;
    bool record_sent_ = false;
    revision platform_head_;
};

} // namespace hemlockshelf

#endif
