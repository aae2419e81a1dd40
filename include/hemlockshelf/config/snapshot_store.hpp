#ifndef HEMLOCKSHELF_CONFIG_SNAPSHOT_STORE_HPP
#define HEMLOCKSHELF_CONFIG_SNAPSHOT_STORE_HPP

#include <memory>
#include <mutex>

#include "hemlockshelf/config/config_snapshot.hpp"
#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Holds the snapshot that the proxy runs. Its revision only rises.
/// Thread-safe.
class snapshot_store
{
public:
    snapshot_store();

    /// Returns the snapshot in force; the caller keeps it for its request.
    [[nodiscard]] std::shared_ptr<const config_snapshot> current() const;

    /// Puts `next` into force. `stale_revision` if its revision is not higher
    /// than that of the snapshot in force.
    result<void> advance(std::shared_ptr<const config_snapshot> next);

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const config_snapshot> current_;
};

} // namespace hemlockshelf

#endif
