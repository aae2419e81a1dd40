#ifndef HEMLOCKSHELF_CONFIG_TABLE_CHANGES_HPP
#define HEMLOCKSHELF_CONFIG_TABLE_CHANGES_HPP

#include <vector>

#include "hemlockshelf/config/config_tables.hpp"
#include "hemlockshelf/config/row_change.hpp"

namespace hemlockshelf {

/// Returns the changes that turn `before` into `after`, in an order in which
/// they can be applied one by one. Row objects that both states share are not
/// compared by content.
std::vector<row_change>
changes_between(const config_tables& before, const config_tables& after);

} // namespace hemlockshelf

#endif
