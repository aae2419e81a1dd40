#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_LOGS_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_LOGS_HPP

#include "standins/upstream/execution_log.hpp"
#include "standins/upstream/outcome_log.hpp"

namespace hemlockshelf {

/// The logs of the stand-in: what has started, and how it ended.
struct upstream_logs
{
    execution_log starts_;
    outcome_log outcomes_;
};

} // namespace hemlockshelf

#endif
