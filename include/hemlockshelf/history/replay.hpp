#ifndef HEMLOCKSHELF_HISTORY_REPLAY_HPP
#define HEMLOCKSHELF_HISTORY_REPLAY_HPP

#include <map>
#include <vector>

#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// Returns the rows at each revision, from revision 0, which is empty.
std::map<revision, row_state>
replay(const std::vector<committed_change>& changes);

} // namespace hemlockshelf

#endif
