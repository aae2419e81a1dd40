#ifndef HEMLOCKSHELF_HISTORY_REPLAY_HPP
#define HEMLOCKSHELF_HISTORY_REPLAY_HPP

#include <map>
#include <vector>

#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// Applies the changes in the order of their revisions. Returns the rows at
/// each revision, starting with the empty revision 0.
std::map<revision, row_state>
replay(const std::vector<committed_change>& changes);

} // namespace hemlockshelf

#endif
