#ifndef HEMLOCKSHELF_MEMBERSHIP_NODE_LIFECYCLE_HPP
#define HEMLOCKSHELF_MEMBERSHIP_NODE_LIFECYCLE_HPP

#include <memory>
#include <string_view>

namespace hemlockshelf {

enum class node_state
{
    /// The listeners are not yet bound.
    starting,
    /// The node looks for the highest revision and for the members.
    joining,
    serving,
    /// No new work; requests in progress are finished.
    draining,
    left,
};

std::string_view to_string(node_state state);

/// State of the node's process. Not thread-safe.
class node_lifecycle
{
public:
    node_lifecycle();
    ~node_lifecycle();
    node_lifecycle(const node_lifecycle&) = delete;
    node_lifecycle& operator=(const node_lifecycle&) = delete;

    /// The listeners are bound.
    void on_listening();
    /// The highest revision that platform and peers know is in force.
    void on_caught_up();
    /// The process was paused: what it holds may be old.
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
