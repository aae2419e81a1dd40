#include "hemlockshelf/routing/locality.hpp"

namespace hemlockshelf {

locality_tier
tier_of(const member_record& member, const entry_location& location)
{
    if (member.region_ != location.region_)
    {
        return locality_tier::other_region;
    }
    return member.failure_domain_ == location.failure_domain_
               ? locality_tier::own_failure_domain
               : locality_tier::own_region;
}

std::string_view to_string(locality_tier value)
{
    switch (value)
    {
    case locality_tier::own_failure_domain:
        return "own_failure_domain";
    case locality_tier::own_region:
        return "own_region";
    case locality_tier::other_region:
        return "other_region";
    }
    return "unknown";
}

} // namespace hemlockshelf
