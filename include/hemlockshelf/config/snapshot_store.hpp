#ifndef HEMLOCKSHELF_CONFIG_SNAPSHOT_STORE_HPP
#define HEMLOCKSHELF_CONFIG_SNAPSHOT_STORE_HPP

#include <memory>
#include <mutex>

#include "hemlockshelf/config/config_snapshot.hpp"
#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Holds the active snapshot of the proxy. The revision never decreases.
/// Thread-safe.
class snapshot_store
{
public:
    snapshot_store();

    /// Returns the active snapshot. The caller uses the same snapshot for the
    /// whole request.
    [[nodiscard]] std::shared_ptr<const config_snapshot> current() const;

    /// Makes `next` the active snapshot. The error is `stale_revision` if its
    /// revision is not higher than that of the active one.
    result<void> advance(std::shared_ptr<const config_snapshot> next);

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const config_snapshot> current_;
};

} // namespace hemlockshelf

#endif
