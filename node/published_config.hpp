#ifndef HEMLOCKSHELF_NODE_PUBLISHED_CONFIG_HPP
#define HEMLOCKSHELF_NODE_PUBLISHED_CONFIG_HPP

#include "hemlockshelf/config/configuration_source.hpp"
#include "node/config_manager.hpp"
#include "node/poll_report.hpp"

namespace hemlockshelf {

/// Waits up to `wait` for a published configuration that is newer than the
/// current one and applies it.
poll_report follow_published(
    configuration_source& source,
    config_manager& config,
    std::chrono::milliseconds wait,
    const clock& time);

} // namespace hemlockshelf

#endif
