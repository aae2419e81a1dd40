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

/// The last deltas that this node applied, without gaps, for peers that fetch.
/// Deltas are shared, so that reading them costs no copies of rows.
/// Thread-safe.
class change_log
{
public:
    using delta_pointer = std::shared_ptr<const config_delta>;

    static constexpr std::size_t default_capacity = 256;

    explicit change_log(std::size_t capacity = default_capacity);

    /// Adds the delta that this node has just applied. One that is not newer
    /// than the log is skipped; after a gap the log starts anew with it.
    void append(config_delta delta);

    /// Empties the log after the node took a whole snapshot of `held`.
    void reset(revision held);

    /// Returns up to `limit` deltas that follow `from`, in order; none if
    /// `from` is the newest revision or later. `revision_gap` if the log does
    /// not reach back to `from` or passes over it: the peer needs a whole
    /// snapshot.
    [[nodiscard]] result<std::vector<delta_pointer>>
    deltas_after(revision from, std::size_t limit = default_capacity) const;

    /// Returns the revision that the newest delta leads to.
    [[nodiscard]] revision newest() const;

private:
    mutable std::mutex mutex_;
    std::size_t capacity_;
    revision newest_;
    std::deque<delta_pointer> deltas_;
};

} // namespace hemlockshelf

#endif
