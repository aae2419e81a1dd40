#ifndef HEMLOCKSHELF_TOOLS_REFERENCE_REFERENCE_PAGES_HPP
#define HEMLOCKSHELF_TOOLS_REFERENCE_REFERENCE_PAGES_HPP

#include <map>
#include <string>

namespace hemlockshelf {

/// Reference pages by their path below the reference folder.
using page_map = std::map<std::string, std::string>;

/// Makes one page for each command, setting, metric and log event, one for the
/// error kinds, and the index.
page_map make_reference_pages();

} // namespace hemlockshelf

#endif
