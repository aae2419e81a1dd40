#ifndef HEMLOCKSHELF_NODE_CONFIG_MANAGER_HPP
#define HEMLOCKSHELF_NODE_CONFIG_MANAGER_HPP

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "adapters/rpc/config_payload.hpp"
#include "hemlockshelf/config/revision_applier.hpp"
#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/metric_sink.hpp"
#include "hemlockshelf/editing/change_log.hpp"

namespace hemlockshelf {

/// How a revision reached this node.
enum class apply_source
{
    push,
    poll,
    repair,
    edit,
};

std::string_view to_string(apply_source source);

/// Puts revisions into force and keeps the recent deltas for peers that fetch.
/// Thread-safe.
class config_manager
{
public:
    config_manager(
        snapshot_store& snapshots,
        const clock& time,
        metric_sink& metrics,
        std::size_t kept_deltas);

    /// Applies the deltas that follow the revision in force, in order, and
    /// skips older ones. Deltas beyond a gap wait, bounded in number, until the
    /// gap is filled: two edits from different nodes can overtake each other on
    /// the way. A delta that spans the revision in force is dropped.
    /// `revision_gap` if any waits or was dropped so; the errors of
    /// `apply_delta` otherwise. What came before the error stays in force.
    result<void>
    apply(const std::vector<accepted_delta>& deltas, apply_source source);

    /// Puts a whole snapshot into force, unless an equal or newer revision is.
    /// Returns the delta that leads to it from the revision before, for peers.
    result<accepted_delta> apply_snapshot(
        const std::shared_ptr<const config_snapshot>& snapshot,
        apply_source source);

    [[nodiscard]] std::shared_ptr<const config_snapshot> current() const;
    [[nodiscard]] revision current_revision() const;

    /// Returns the deltas after `from` up to the revision in force; nothing if
    /// they are no longer kept.
    [[nodiscard]] std::optional<std::vector<accepted_delta>>
    deltas_after(revision from) const;

private:
    bool enqueue(const accepted_delta& delta);
    result<void> apply_pending(apply_source source);
    /// Returns the waiting delta that follows the revision in force, if any.
    std::optional<accepted_delta> take_next_pending();
    result<void> apply_one(const accepted_delta& delta, apply_source source);
    void report_applied(
        apply_source source, std::optional<wall_time> accepted_at) const;

    snapshot_store& snapshots_;
    const clock& time_;
    metric_sink& metrics_;
    std::size_t kept_deltas_;
    wall_time started_at_;
    mutable std::mutex mutex_;
    revision_applier applier_;
    change_log log_;
    /// Deltas beyond the revision in force, by the revisions that they lead to
    /// and apply to: those of two readers may lead to the same one.
    std::map<std::pair<revision, revision>, accepted_delta> pending_;
    /// When the edits of the log's deltas were accepted.
    std::map<revision, wall_time> accepted_at_;
};

} // namespace hemlockshelf

#endif
