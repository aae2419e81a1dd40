#ifndef HEMLOCKSHELF_CONFIG_CONFIGURATION_SOURCE_HPP
#define HEMLOCKSHELF_CONFIG_CONFIGURATION_SOURCE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "hemlockshelf/config/config_snapshot.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Result of one read of the published configurations.
struct published_read_result
{
    /// The newest configuration after the current revision; null if there is
    /// none.
    std::shared_ptr<const config_snapshot> newest_;
    /// Errors of the documents that were checked and rejected. A source checks
    /// only a few documents of each read.
    std::vector<error> rejected_;
    /// Whether the source may have missed a valid configuration: it has not
    /// examined everything that was published, found none that can be used in
    /// the rest, and has had no usable one since.
    bool may_lack_one_ = false;
    /// Whether the platform has lost changes and has not held a configuration
    /// as new as the current one since. Its answers prove nothing about what
    /// was published before.
    bool is_behind_ = false;
    /// Era of the platform's tables, as its answer states it.
    platform_era era_;
    /// Number of published documents in the read, and their stored size in
    /// bytes.
    std::size_t documents_ = 0;
    std::uint64_t bytes_ = 0;
    /// When the platform answered, by the clock of this node; the epoch if the
    /// source does not tell.
    wall_time read_at_;
    /// Time spent on validating and preparing them, excluding the wait.
    std::chrono::milliseconds preparation_{0};
};

/// Port to a platform on which operators publish complete configurations. A
/// node without such a source reads the changes that nodes accept from the
/// table service.
class configuration_source
{
public:
    virtual ~configuration_source() = default;

    /// Blocks until a valid configuration newer than `current` is published,
    /// and returns the newest one; after `wait`, returns a result without a
    /// configuration. The returned snapshot shares unchanged rows with
    /// `current`. Must be called from one thread only. The errors are
    /// `platform_unavailable` and `rate_limited`.
    virtual result<published_read_result> wait_for_newer(
        const config_snapshot& current, std::chrono::milliseconds wait) = 0;

    /// Makes a `wait_for_newer` in progress and all later ones return at once.
    /// May be called from any thread.
    virtual void cancel() = 0;

protected:
    configuration_source() = default;
    configuration_source(const configuration_source&) = default;
    configuration_source& operator=(const configuration_source&) = default;
};

} // namespace hemlockshelf

#endif
