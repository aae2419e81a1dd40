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

/// States of the application of a revision.
enum class applier_state
{
    /// Nothing was offered yet.
    idle,
    /// The tables of the offered revision are built beside those in force.
    building,
    /// Hash and references of the built tables are checked.
    checking,
    /// The revision offered last is in force.
    live,
    /// The revision offered last was bad; the one before stays in force.
    rejected,
};

/// Returns the state's name.
std::string_view to_string(applier_state state);

/// Every row of a revision.
struct whole_revision
{
    revision number_;
    std::vector<row_change> rows_;
    content_hash hash_;
};

/// Applies revisions to a snapshot store, each as a whole or not at all.
/// Thread-safe: offers from several threads are applied one after another.
class revision_applier
{
public:
    /// `metrics` may be null.
    revision_applier(
        snapshot_store& store, const clock& time, metric_sink* metrics);
    ~revision_applier();

    revision_applier(const revision_applier&) = delete;
    revision_applier& operator=(const revision_applier&) = delete;

    /// Applies the next delta. `stale_revision` and `revision_gap` leave the
    /// state as it is, because they say nothing about the delta. After
    /// `hash_mismatch` or `invalid_row` the state is `rejected` and the node
    /// needs the whole revision.
    result<void> apply(const config_delta& delta);

    /// Applies a whole revision, with the same errors but `revision_gap`.
    result<void> apply(const whole_revision& whole);

    /// Applies a snapshot that was built elsewhere, from rows whose hash was
    /// checked. `stale_revision` if it is not newer.
    result<void> apply(std::shared_ptr<const config_snapshot> snapshot);

    /// Returns the state after the last offer.
    [[nodiscard]] applier_state state() const;

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

} // namespace hemlockshelf

#endif
