#ifndef HEMLOCKSHELF_MEMBERSHIP_DOMAIN_REACHABILITY_HPP
#define HEMLOCKSHELF_MEMBERSHIP_DOMAIN_REACHABILITY_HPP

#include <cstdint>
#include <map>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Counts contacts with other failure domains that failed in a row. A domain
/// that cannot be reached is only marked: its members may be serving on the
/// other side of a partition.
class domain_reachability
{
public:
    explicit domain_reachability(std::uint32_t limit);

    /// Notes a contact. Returns true if the domain's reachability changed.
    bool record_contact(const failure_domain_id& domain, bool reached);

    [[nodiscard]] bool is_reachable(const failure_domain_id& domain) const;

    /// Forgets all failures, after this node itself was paused.
    void reset();

private:
    std::uint32_t limit_;
    std::map<failure_domain_id, std::uint32_t> failures_;
};

} // namespace hemlockshelf

#endif
