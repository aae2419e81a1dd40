#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_LOGS_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_UPSTREAM_LOGS_HPP

#include "standins/upstream/execution_log.hpp"
#include "standins/upstream/outcome_log.hpp"

namespace hemlockshelf {

/// Logs of the stand-in: the start and the outcome of each execution.
struct upstream_logs
{
    execution_log starts_;
    outcome_log outcomes_;
};

} // namespace hemlockshelf

#endif
