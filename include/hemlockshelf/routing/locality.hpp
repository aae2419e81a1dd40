#ifndef HEMLOCKSHELF_ROUTING_LOCALITY_HPP
#define HEMLOCKSHELF_ROUTING_LOCALITY_HPP

#include <cstddef>
#include <string_view>

#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/membership/member_record.hpp"

namespace hemlockshelf {

/// Location of an entry.
struct entry_location
{
    failure_domain_id failure_domain_;
    region_id region_;
};

/// Distance of a member from an entry; nearer members are preferred.
enum class locality_tier
{
    own_failure_domain,
    own_region,
    other_region,
};

/// Number of enumerators of `locality_tier`.
inline constexpr std::size_t locality_tier_count = 3;

/// Returns the tier of a member as seen from `location`.
locality_tier
tier_of(const member_record& member, const entry_location& location);

/// Returns the tier's name, for the explain page and metrics.
std::string_view to_string(locality_tier value);

} // namespace hemlockshelf

#endif
