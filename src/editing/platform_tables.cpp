#include "hemlockshelf/editing/platform_tables.hpp"

#include <fmt/format.h>

namespace hemlockshelf::platform_tables {

std::string change_key(revision number)
{
    return fmt::format("{:020}", number.value());
}

} // namespace hemlockshelf::platform_tables
