#ifndef HEMLOCKSHELF_NODE_READINESS_HPP
#define HEMLOCKSHELF_NODE_READINESS_HPP

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Returns whether the revision in force may answer calls. Where operators
/// publish whole configurations, revision 0 means that none has been read: a
/// request without a route must not be told that there is none. With tables of
/// the project's own, revision 0 is the configuration before the first edit.
bool has_configuration(bool published, revision held);

} // namespace hemlockshelf

#endif
