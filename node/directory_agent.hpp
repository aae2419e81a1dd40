#ifndef HEMLOCKSHELF_NODE_DIRECTORY_AGENT_HPP
#define HEMLOCKSHELF_NODE_DIRECTORY_AGENT_HPP

#include <chrono>
#include <functional>
#include <set>
#include <vector>

#include "adapters/http/endpoint.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "node/control_context.hpp"
#include "node/directory.hpp"
#include "node/platform_poller.hpp"

namespace hemlockshelf {

/// Maintains this node's row in the platform's directory and reads the rows of
/// the others. Used on the control loop only; calls to the platform run on a
/// thread of the poller.
class directory_agent
{
public:
    /// Receives the rows of the directory on the control loop.
    using rows_handler = std::function<void(const std::vector<directory_row>&)>;

    /// Receives the time in which the platform has answered a call, on the
    /// control loop.
    using round_trip_handler = std::function<void(std::chrono::microseconds)>;

    /// Receives, on the control loop, whether the platform holds no departures
    /// of upstreams on this VM: `conflict` if it does, another error if it has
    /// not answered.
    using departures_handler = std::function<void(const result<void>&)>;

    directory_agent(
        control_context& context,
        platform_poller& poller,
        round_trip_handler on_round_trip,
        departures_handler on_departures);

    /// Writes this node's row, then reads the directory. In this order, of two
    /// nodes that start together, the one that writes later finds the other's
    /// row. `found` is not called if the platform does not answer. The first
    /// call also asks for departures.
    void register_and_read(rows_handler found);

    /// Returns whether `register_and_read` has been called, which tells of
    /// departures as well.
    [[nodiscard]] bool asks_for_departures() const noexcept
    {
        return asks_for_departures_;
    }

    /// Maintains the directory, at most once per
    /// `membership.directory_interval`. The first `membership.directory_rows`
    /// nodes of each failure domain in rendezvous order restore their rows if
    /// they are missing, and the first one removes the rows of nodes that are
    /// gone. `found` receives the rows that were read.
    void maintain(rows_handler found);

private:
    void
    read(std::function<void(table_service&)> write_first, rows_handler found);
    void write_row(table_service& tables, const directory_row& row) const;
    void write_first_row(table_service& tables, const directory_row& row) const;
    [[nodiscard]] directory_row own_row() const;
    void restore_own_row(const std::vector<directory_row>& rows);
    void remove_stale_rows(const std::vector<directory_row>& rows);

    control_context& context_;
    platform_poller& poller_;
    round_trip_handler on_round_trip_;
    departures_handler on_departures_;
    bool asks_for_departures_ = false;
    steady_time next_check_;
    /// Nodes with a row but no live member at the last check. A row is removed
    /// only if this is still so at the next check, because a node that has just
    /// started writes its row before the others know it.
    std::set<vm_id> stale_vms_;
};

} // namespace hemlockshelf

#endif
