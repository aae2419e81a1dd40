#ifndef HEMLOCKSHELF_TEST_EDITING_ORDERING_LEASE_NODE_HPP
#define HEMLOCKSHELF_TEST_EDITING_ORDERING_LEASE_NODE_HPP

#include <atomic>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <vector>

#include "hemlockshelf/core/real_clock.hpp"
#include "hemlockshelf/editing/edit_base.hpp"
#include "test/editing/ordering/ordering_node.hpp"
#include "test/editing/ordering/slow_tables.hpp"

namespace hemlockshelf {

/// Settings of the lease-based ordering scheme.
struct lease_settings
{
    std::chrono::milliseconds duration_{2000};
    /// Time that a forwarded edit waits for the lease holder before the sender
    /// reads the lease again.
    std::chrono::milliseconds forward_timeout_{500};
    /// Round trip between two nodes.
    std::chrono::milliseconds peer_round_trip_{2};
    /// Whether each write checks the version of the lease row.
    bool fenced_ = true;
};

/// Node of the lease-based ordering scheme: one node at a time holds a lease,
/// which is a row of the table service, and orders all edits. The other nodes
/// forward edits to it.
class lease_node final : public ordering_node
{
public:
    /// `index` is the index of this node in `peers`.
    lease_node(
        table_service& shared,
        std::chrono::milliseconds round_trip,
        lease_settings settings,
        std::size_t index,
        const std::vector<lease_node*>& peers);

    result<edit_outcome> submit(const edit_request& request) override;
    void pause_next_commit(std::chrono::milliseconds length) override;

private:
    /// Commits an edit as the lease holder. The error is `stale_revision` if
    /// this node does not hold the lease, and `busy` if it does not respond in
    /// time.
    result<edit_outcome> order(const edit_request& request);
    result<edit_outcome> commit(const edit_request& request);
    /// Returns the index of the lease holder. Acquires the lease if it has
    /// expired.
    std::size_t find_holder();
    bool acquire(row_version seen);
    [[nodiscard]] bool is_holder() const;
    bool renew();
    bool write_lease(row_version seen);

    slow_tables tables_;
    lease_settings settings_;
    std::size_t index_;
    const std::vector<lease_node*>& peers_;
    real_clock time_;
    std::atomic<std::size_t> last_holder_ = 0;

    /// Guards the state of the lease holder and serializes edits.
    std::timed_mutex mutex_;
    std::mutex acquire_mutex_;
    row_version fencing_token_;
    steady_time held_until_;
    edit_base_cache bases_;
    edit_base_pointer base_;
};

} // namespace hemlockshelf

#endif
