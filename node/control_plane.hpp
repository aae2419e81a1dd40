#ifndef HEMLOCKSHELF_NODE_CONTROL_PLANE_HPP
#define HEMLOCKSHELF_NODE_CONTROL_PLANE_HPP

#include <memory>

#include "adapters/settings/node_settings.hpp"
#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/metric_sink.hpp"
#include "hemlockshelf/editing/change_record.hpp"
#include "hemlockshelf/editing/object_store.hpp"
#include "hemlockshelf/editing/table_service.hpp"
#include "hemlockshelf/membership/member_table.hpp"
#include "hemlockshelf/membership/node_lifecycle.hpp"
#include "node/local_upstream.hpp"
#include "node/platform_poller.hpp"

namespace hemlockshelf {

/// Keeps the configuration and the membership of this node current. Runs on
/// threads of its own between `start` and `stop`. Members may be called from
/// any thread.
class control_plane
{
public:
    /// Binds the control listener. Throws `std::system_error` if the address
    /// can't be bound.
    control_plane(
        const node_settings& settings,
        const clock& time,
        polled_services services,
        snapshot_store& snapshots,
        member_table& members,
        const local_upstream& upstream,
        metric_sink& metrics);
    ~control_plane();

    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    void start();

    /// Turns the node unready for callers; its upstream stays in use.
    void drain();

    /// Tells the other nodes to use other upstreams than this node's.
    void withdraw_upstream();

    /// Tells the other nodes that this one leaves and stops.
    void stop();

    /// Takes an edit that this node has just committed: puts it into force and
    /// pushes it. Does not block.
    void accept(const change_record& record);

    [[nodiscard]] node_state state() const;

    /// Tells whether the node has joined and has not been paused since it last
    /// looked at its clock. Thread-safe and cheap enough for each call.
    [[nodiscard]] bool may_route() const;

    /// Returns the highest revision that the platform or a peer was seen to
    /// hold.
    [[nodiscard]] revision highest_known_revision() const;

    /// Returns the incarnation of this node's record.
    [[nodiscard]] incarnation own_incarnation() const;

private:
    class parts;
    std::unique_ptr<parts> parts_;
};

} // namespace hemlockshelf

#endif
