#ifndef HEMLOCKSHELF_BENCHMARK_TARGET_SIZE_TARGET_FLEET_HPP
#define HEMLOCKSHELF_BENCHMARK_TARGET_SIZE_TARGET_FLEET_HPP

#include <cstddef>
#include <vector>

#include "hemlockshelf/config/row_change.hpp"
#include "hemlockshelf/membership/member_record.hpp"

namespace hemlockshelf {

/// Size of a fleet.
struct fleet_size
{
    std::size_t members_ = 24'000;
    std::size_t services_ = 2'500;
    std::size_t regions_ = 8;
    std::size_t failure_domains_ = 21;
    std::size_t accounts_ = 50;
    std::size_t routes_per_service_ = 2;
};

/// Makes the record of member number `index`.
member_record make_member(const fleet_size& size, std::size_t index);

/// Makes the pool and the routes of every service.
std::vector<row_change> make_rows(const fleet_size& size);

/// Makes an edit of the routes of one service, different for each `number`.
row_change make_edit(const fleet_size& size, std::size_t number);

} // namespace hemlockshelf

#endif
