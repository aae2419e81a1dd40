#include "hemlockshelf/membership/domain_reachability.hpp"

namespace hemlockshelf {

domain_reachability::domain_reachability(std::uint32_t limit) : limit_(limit) {}

bool domain_reachability::record_contact(
    const failure_domain_id& domain, bool reached)
{
    const bool before = is_reachable(domain);
    auto& failures = failures_[domain];
    failures = reached ? 0 : failures + 1;
    return before != is_reachable(domain);
}

bool domain_reachability::is_reachable(const failure_domain_id& domain) const
{
    const auto found = failures_.find(domain);
    return found == failures_.end() || found->second < limit_;
}

void domain_reachability::reset()
{
    failures_.clear();
}

} // namespace hemlockshelf
