#ifndef HEMLOCKSHELF_NODE_CONTACT_TRACKER_HPP
#define HEMLOCKSHELF_NODE_CONTACT_TRACKER_HPP

#include "hemlockshelf/membership/domain_reachability.hpp"
#include "node/control_context.hpp"

namespace hemlockshelf {

/// Marks the members of other failure domains `unreachable` when contacts
/// with the domain fail, and alive again when one succeeds.
class contact_tracker
{
public:
    explicit contact_tracker(control_context& context);

    /// Records the outcome of a contact with a member, in either direction.
    void record_contact(const tree_member& peer, bool reached);

    [[nodiscard]] bool is_reachable(const failure_domain_id& domain) const;

    /// Forgets all failures.
    void reset();

private:
    void mark(const failure_domain_id& domain, liveness from, liveness to);

    control_context& context_;
    domain_reachability domains_;
};

} // namespace hemlockshelf

#endif
