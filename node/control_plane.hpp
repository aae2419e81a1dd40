#ifndef HEMLOCKSHELF_NODE_CONTROL_PLANE_HPP
#define HEMLOCKSHELF_NODE_CONTROL_PLANE_HPP

#include <functional>
#include <memory>

#include "adapters/http/request_quota.hpp"
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

/// The control plane of a node, which keeps its configuration and its
/// membership up to date. Runs on its own threads between `start` and `stop`.
/// Member functions may be called from any thread.
class control_plane
{
public:
    /// Binds the control listener. Throws `std::system_error` if the address
    /// cannot be bound.
    control_plane(
        const node_settings& settings,
        const clock& time,
        polled_services services,
        snapshot_store& snapshots,
        member_table& members,
        local_upstream& upstream,
        metric_sink& metrics);
    ~control_plane();

    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    void start();

    /// Marks the node as not ready for callers. Other nodes keep using its
    /// upstream.
    void drain();

    /// Notifies the other nodes to stop using this node's upstream.
    void withdraw_upstream();

    /// Makes other nodes hold what has been acknowledged to the upstream, and
    /// calls `done` on the control loop once enough of them do. A node that has
    /// not joined or reaches no other may never call it.
    void share_upstream(std::function<void()> done);

    /// Makes the platform hold what has been acknowledged to the upstream, and
    /// calls `done` on another thread once it does.
    void store_upstream(std::function<void()> done);

    /// Notifies the other nodes that this one leaves, then stops.
    void stop();

    /// Applies an edit that this node has just committed and pushes it to the
    /// other nodes. Does not block.
    void apply_edit(const change_record& record);

    [[nodiscard]] node_state state() const;

    /// Returns whether the node has joined and its control loop has run within
    /// the pause threshold. Thread-safe and cheap enough to run for each call.
    [[nodiscard]] bool may_route() const;

    /// Returns whether the node may rely on the client accounts that it holds.
    /// Cheap enough to run for each call.
    [[nodiscard]] bool accounts_confirmed() const;

    /// The quotas of client accounts; used by the entry.
    [[nodiscard]] request_quota& account_quota();

    /// Returns the highest revision that the platform or a peer has reported.
    [[nodiscard]] revision highest_known_revision() const;

    /// Returns the incarnation of this node's record.
    [[nodiscard]] incarnation own_incarnation() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hemlockshelf

#endif
