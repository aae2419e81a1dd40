#ifndef HEMLOCKSHELF_NODE_READINESS_HPP
#define HEMLOCKSHELF_NODE_READINESS_HPP

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Returns whether calls may be routed by the current revision. Where operators
/// publish whole configurations, revision 0 means that none has been read yet,
/// and callers must not be told that a route does not exist. Where the
/// configuration is edited in tables, revision 0 is the valid configuration
/// before the first edit.
bool has_configuration(bool published, revision current);

} // namespace hemlockshelf

#endif
