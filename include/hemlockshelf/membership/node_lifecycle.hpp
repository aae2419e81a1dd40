#ifndef HEMLOCKSHELF_MEMBERSHIP_NODE_LIFECYCLE_HPP
#define HEMLOCKSHELF_MEMBERSHIP_NODE_LIFECYCLE_HPP

#include <memory>
#include <string_view>

namespace hemlockshelf {

enum class node_state
{
    /// The listeners are not yet bound.
    starting,
    /// The node fetches the highest revision and the member list.
    joining,
    serving,
    /// New work is refused; requests in progress are completed.
    draining,
    left,
};

std::string_view to_string(node_state state);

/// State machine of the node's process. Not thread-safe.
class node_lifecycle
{
public:
    node_lifecycle();
    ~node_lifecycle();
    node_lifecycle(const node_lifecycle&) = delete;
    node_lifecycle& operator=(const node_lifecycle&) = delete;

    /// The listeners are bound.
    void on_listening();
    /// The node runs the highest revision known to the platform and the peers.
    void on_caught_up();
    /// The process was paused, so its configuration may be outdated.
    void on_paused();
    void drain();
    void leave();

    [[nodiscard]] node_state state() const;

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

} // namespace hemlockshelf

#endif
