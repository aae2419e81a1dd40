#ifndef HEMLOCKSHELF_MEMBERSHIP_DOMAIN_REACHABILITY_HPP
#define HEMLOCKSHELF_MEMBERSHIP_DOMAIN_REACHABILITY_HPP

#include <cstdint>
#include <map>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Counts consecutive failed contacts with each remote failure domain. An
/// unreachable domain is only marked and its members are kept, because they may
/// still be serving on the other side of a partition.
class domain_reachability
{
public:
    explicit domain_reachability(std::uint32_t limit);

    /// Records the result of a contact. Returns true if the domain's
    /// reachability changed.
    bool record_contact(const failure_domain_id& domain, bool reached);

    [[nodiscard]] bool is_reachable(const failure_domain_id& domain) const;

    /// Clears all failure counts, after a pause of the local process.
    void reset();

private:
    std::uint32_t limit_;
    std::map<failure_domain_id, std::uint32_t> failures_;
};

} // namespace hemlockshelf

#endif
