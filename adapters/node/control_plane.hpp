#ifndef HEMLOCKSHELF_ADAPTERS_NODE_CONTROL_PLANE_HPP
#define HEMLOCKSHELF_ADAPTERS_NODE_CONTROL_PLANE_HPP

#include <atomic>
#include <thread>

#include "adapters/node/own_upstream.hpp"
#include "adapters/settings/node_settings.hpp"
#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/editing/change_record.hpp"
#include "hemlockshelf/editing/table_service.hpp"
#include "hemlockshelf/membership/member_table.hpp"

namespace hemlockshelf {

/// Keeps the configuration and the membership of this node current. Runs on
/// threads of its own between `start` and `stop`.
class control_plane
{
public:
    control_plane(
        const node_settings& settings,
        const clock& time,
        table_service& tables,
        snapshot_store& snapshots,
        member_table& members,
        const own_upstream& upstream);
    ~control_plane();

    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    void start();
    void stop();

    /// Takes an edit that this node has just committed. May be called from any
    /// thread and does not block.
    void accept(const change_record& record);

private:
    void poll_platform();
    void poll_once();
    void write_own_record();

    const node_settings& settings_;
    const clock& time_;
    table_service& tables_;
    snapshot_store& snapshots_;
    member_table& members_;
    const own_upstream& upstream_;
    incarnation incarnation_;
    std::atomic<bool> stopping_ = false;
    std::thread poller_;
};

} // namespace hemlockshelf

#endif
