#ifndef HEMLOCKSHELF_CONFIG_REVISION_APPLIER_HPP
#define HEMLOCKSHELF_CONFIG_REVISION_APPLIER_HPP

#include <memory>
#include <string_view>
#include <vector>

#include "hemlockshelf/config/config_delta.hpp"
#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/metric_sink.hpp"

namespace hemlockshelf {

/// State of the revision that was submitted last.
enum class applier_state
{
    /// No revision was submitted yet.
    idle,
    /// The tables of the submitted revision are being built; the active ones
    /// are not modified.
    building,
    /// The content hash and the references of the new tables are being checked.
    checking,
    /// The revision submitted last is active.
    live,
    /// The revision submitted last was invalid; the previous one stays active.
    rejected,
};

/// Returns the name of the state.
std::string_view to_string(applier_state state);

/// Every row of a revision.
struct whole_revision
{
    revision number_;
    std::vector<row_change> rows_;
    content_hash hash_;
};

/// Applies revisions atomically to a snapshot store. Thread-safe: concurrent
/// calls of `apply` are serialized.
class revision_applier
{
public:
    /// `metrics` may be null.
    revision_applier(
        snapshot_store& store, const clock& time, metric_sink* metrics);
    ~revision_applier();

    revision_applier(const revision_applier&) = delete;
    revision_applier& operator=(const revision_applier&) = delete;

    /// Applies the next delta. The errors `stale_revision` and `revision_gap`
    /// do not change the state, because the delta itself may be valid. After
    /// `hash_mismatch` or `invalid_row` the state is `rejected`, and the node
    /// has to fetch the full revision.
    result<void> apply(const config_delta& delta);

    /// Applies a full revision. The errors are those of a delta except
    /// `revision_gap`.
    result<void> apply(const whole_revision& whole);

    /// Applies a snapshot that the caller built from rows whose content hash
    /// was checked. The error is `stale_revision` if it is not newer.
    result<void> apply(std::shared_ptr<const config_snapshot> snapshot);

    /// Returns the state of the revision that was submitted last.
    [[nodiscard]] applier_state state() const;

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

} // namespace hemlockshelf

#endif
