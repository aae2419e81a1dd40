#ifndef HEMLOCKSHELF_NODE_READER_WATCH_HPP
#define HEMLOCKSHELF_NODE_READER_WATCH_HPP

#include <cstddef>
#include <functional>
#include <optional>

#include "node/control_context.hpp"
#include "node/publication_readers.hpp"
#include "node/push_agent.hpp"
#include "node/repair_agent.hpp"

namespace hemlockshelf {

/// Compares this node's revision with that of a reader of published
/// configurations, on behalf of its failure domain, and pushes within the
/// domain what it lacked. Bounds the time for which a failure domain keeps an
/// old revision when the push to it is lost: the pushing node and every member
/// that it tries may fail at the same moment. Used on the control loop only.
class reader_watch
{
public:
    /// Takes a reader's answer and the time of the question.
    using answer_handler =
        std::function<void(const heartbeat_message&, boot_time)>;

    reader_watch(
        control_context& context,
        const publication_readers& readers,
        push_agent& pushes,
        repair_agent& repairs,
        answer_handler on_heard);

    /// Sends a heartbeat to a reader, if it is this node's turn to watch and
    /// the last heartbeats were answered or failed. Further readers are asked
    /// while the ones before are silent.
    void tick();

    /// Returns whether this node watches for its failure domain and no reader
    /// has answered it since it asked each of them. It has to read the platform
    /// itself then, because the readers may be cut off from its domain.
    [[nodiscard]] bool has_lost_readers() const;

    /// Asks a random member of the region for the configuration, if this node
    /// has none. Its neighbours may have none either, for example when a whole
    /// deployment restarts.
    void find_configuration();

private:
    [[nodiscard]] bool is_watching() const;
    [[nodiscard]] bool is_due();
    /// Asks the reader at this distance from the one that answered last.
    void ask(std::size_t distance);
    [[nodiscard]] std::optional<peer_address> choose_member();
    void on_answer(const peer_address& peer, revision held);
    void fetch_and_push(const peer_address& peer, revision seen);

    control_context& context_;
    const publication_readers& readers_;
    push_agent& pushes_;
    repair_agent& repairs_;
    answer_handler on_heard_;
    /// Index of the reader that answered last.
    std::size_t first_ = 0;
    /// Heartbeats that failed since one was answered.
    std::size_t failures_ = 0;
    std::size_t outstanding_ = 0;
    /// Whether a reader has answered since the last tick that asked.
    bool answered_ = false;
    /// Readers asked since then.
    std::size_t asked_ = 0;
    /// Ticks since this node watched although it is not one of the chosen ones.
    std::size_t ticks_ = 0;
    steady_time next_search_;
    bool searching_ = false;
    /// Searches before any node has reported a configuration.
    int blind_searches_ = 0;
};

} // namespace hemlockshelf

#endif
