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

/// Applies configuration revisions and keeps the recent deltas for peers to
/// fetch. Thread-safe.
class config_manager
{
public:
    config_manager(
        snapshot_store& snapshots,
        const clock& time,
        metric_sink& metrics,
        std::size_t kept_deltas);

    /// Applies the deltas that follow the current revision, in order, and skips
    /// older ones. A limited number of deltas beyond a gap is queued until the
    /// gap is filled, because edits from different nodes can arrive out of
    /// order. A delta that starts before the current revision and ends after it
    /// is dropped. Fails with `revision_gap` if a delta is queued or was
    /// dropped for that reason, and otherwise with the errors of `apply_delta`.
    /// Deltas applied before the error stay applied.
    result<void>
    apply(const std::vector<accepted_delta>& deltas, apply_source source);

    /// Applies a whole snapshot, unless the current revision is equal or newer.
    /// Returns the delta from the previous revision to it, for peers.
    /// `accepted_at` is when its newest change was accepted, if that is known.
    result<accepted_delta> apply_snapshot(
        const std::shared_ptr<const config_snapshot>& snapshot,
        apply_source source,
        wall_time accepted_at = {});

    /// Counts a configuration that could not be read and so reached none of the
    /// functions above, which count their own rejections.
    void count_rejection(const error& failure) const;

    [[nodiscard]] std::shared_ptr<const config_snapshot> current() const;
    [[nodiscard]] revision current_revision() const;

    /// Returns the deltas after `from` up to the current revision, or nothing
    /// if they are no longer kept.
    [[nodiscard]] std::optional<std::vector<accepted_delta>>
    deltas_after(revision from) const;

private:
    bool enqueue(const accepted_delta& delta);
    result<void> apply_pending(apply_source source);
    /// Removes and returns the queued deltas that follow the current revision
    /// and each other.
    std::vector<accepted_delta> take_next_pending();
    /// Applies the deltas as one, because each application costs time in
    /// proportion to the accounts that it touches.
    result<void>
    apply_chain(const std::vector<accepted_delta>& chain, apply_source source);
    result<void> apply_one(const accepted_delta& delta, apply_source source);
    /// Keeps an applied delta for peers.
    void keep(const accepted_delta& delta);
    /// `accepted_at` is the epoch if the time is not known.
    void report_applied(apply_source source, wall_time accepted_at) const;

    snapshot_store& snapshots_;
    const clock& time_;
    metric_sink& metrics_;
    std::size_t kept_deltas_;
    wall_time started_at_;
    mutable std::mutex mutex_;
    revision_applier applier_;
    change_log log_;
    /// Queued deltas beyond a gap, by target and base revision, because deltas
    /// from two readers may have the same target revision.
    std::map<std::pair<revision, revision>, accepted_delta> pending_;
    /// Times at which the edits of the logged deltas were accepted, or at which
    /// a reader received the published configuration.
    std::map<revision, wall_time> accepted_at_;
};

} // namespace hemlockshelf

#endif
