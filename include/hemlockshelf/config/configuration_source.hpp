#ifndef HEMLOCKSHELF_CONFIG_CONFIGURATION_SOURCE_HPP
#define HEMLOCKSHELF_CONFIG_CONFIGURATION_SOURCE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "hemlockshelf/config/config_snapshot.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// What one read of the published configurations brought.
struct published_read_result
{
    /// The newest configuration above the held revision; null if there is none.
    std::shared_ptr<const config_snapshot> newest_;
    /// Why documents that were looked at can't be used. A source looks at few
    /// documents of a read.
    std::vector<error> rejected_;
    /// Published documents in the read, and their bytes as stored.
    std::size_t documents_ = 0;
    std::uint64_t bytes_ = 0;
    /// Time that checking and preparing them took, without the wait.
    std::chrono::milliseconds preparation_{0};
};

/// Port to a platform on which operators publish whole configurations. A node
/// without one reads the changes that nodes accept from the table service.
class configuration_source
{
public:
    virtual ~configuration_source() = default;

    /// Returns the newest usable configuration as soon as there is one above
    /// that of `held`, whose rows it shares where they are the same, or a read
    /// without one after `wait`. Blocks, and is called from one thread. The
    /// errors are `platform_unavailable` and `rate_limited`.
    virtual result<published_read_result> wait_for_newer(
        const config_snapshot& held, std::chrono::milliseconds wait) = 0;

    /// Ends a `wait_for_newer` in progress, and every later one at once. May be
    /// called from any thread.
    virtual void cancel() = 0;

protected:
    configuration_source() = default;
    configuration_source(const configuration_source&) = default;
    configuration_source& operator=(const configuration_source&) = default;
};

} // namespace hemlockshelf

#endif
