#ifndef HEMLOCKSHELF_EDITING_CHANGE_LOG_HPP
#define HEMLOCKSHELF_EDITING_CHANGE_LOG_HPP

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <vector>

#include "hemlockshelf/config/config_delta.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// The most recent deltas that this node applied, without gaps, for peers that
/// fetch them. Readers share the deltas, so that no rows are copied.
/// Thread-safe.
class change_log
{
public:
    using delta_pointer = std::shared_ptr<const config_delta>;

    static constexpr std::size_t default_capacity = 256;

    explicit change_log(std::size_t capacity = default_capacity);

    /// Appends a delta that this node has applied. A delta that is not newer
    /// than the log is ignored. If the delta leaves a gap, the older deltas are
    /// removed.
    void append(config_delta delta);

    /// Clears the log after the node has applied the full snapshot of revision
    /// `current`.
    void reset(revision current);

    /// Returns up to `limit` deltas after `from`, in order; none if `from` is
    /// the newest revision or later. The error is `revision_gap` if the log has
    /// no delta that applies to `from`; the peer then needs a full snapshot.
    [[nodiscard]] result<std::vector<delta_pointer>>
    deltas_after(revision from, std::size_t limit = default_capacity) const;

    /// Returns the revision that the newest delta produces.
    [[nodiscard]] revision newest() const;

private:
    mutable std::mutex mutex_;
    std::size_t capacity_;
    revision newest_;
    std::deque<delta_pointer> deltas_;
};

} // namespace hemlockshelf

#endif
