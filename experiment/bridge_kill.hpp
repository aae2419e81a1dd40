#ifndef HEMLOCKSHELF_EXPERIMENT_BRIDGE_KILL_HPP
#define HEMLOCKSHELF_EXPERIMENT_BRIDGE_KILL_HPP

#include "experiment/trial_context.hpp"

namespace hemlockshelf {

/// Kills nodes of the region without the platform, one after the other: each
/// time the one that was the bridge of the latest edit. Edits that follow have
/// to reach that region. The region is cut off from the platform, so that its
/// readers do not stand in for the bridge.
void kill_bridges(trial_context& context);

/// Starts the killed nodes again and restores the links.
void restart_bridges(trial_context& context);

} // namespace hemlockshelf

#endif
