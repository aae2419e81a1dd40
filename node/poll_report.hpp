#ifndef HEMLOCKSHELF_NODE_POLL_REPORT_HPP
#define HEMLOCKSHELF_NODE_POLL_REPORT_HPP

#include <optional>
#include <vector>

#include "adapters/rpc/config_payload.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Result of one poll.
struct poll_report
{
    bool answered_ = false;
    revision head_;
    /// When the platform was asked; its answer says that no revision above
    /// `head_` was published at this time. Only with published configurations.
    std::optional<boot_time> confirmed_at_{};
    /// See `published_read_result`.
    bool platform_is_behind_ = false;
    platform_era era_;
    /// Deltas that were read, including those already applied.
    std::vector<accepted_delta> deltas_;
};

} // namespace hemlockshelf

#endif
