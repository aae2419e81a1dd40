#ifndef HEMLOCKSHELF_ADAPTERS_TELEMETRY_LOG_ORIGIN_HPP
#define HEMLOCKSHELF_ADAPTERS_TELEMETRY_LOG_ORIGIN_HPP

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// The node that writes a log. Each of its lines has both as fields, so that
/// the lines of many nodes can be kept together.
struct log_origin
{
    vm_id vm_;
    failure_domain_id failure_domain_;
};

} // namespace hemlockshelf

#endif
