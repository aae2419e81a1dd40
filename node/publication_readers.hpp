#ifndef HEMLOCKSHELF_NODE_PUBLICATION_READERS_HPP
#define HEMLOCKSHELF_NODE_PUBLICATION_READERS_HPP

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "hemlockshelf/dissemination/readers.hpp"
#include "node/control_context.hpp"

namespace hemlockshelf {

/// The nodes that read published configurations, as chosen from the members
/// that this node knows. Used on the control loop only.
class publication_readers
{
public:
    explicit publication_readers(control_context& context);

    /// Follows changes of the members. Only failure domains whose members have
    /// changed since the last call are examined. Returns whether the readers
    /// changed.
    bool update();

    /// Returns this node's rank among the readers, if it is one.
    [[nodiscard]] std::optional<std::size_t> own_rank() const;

    /// Returns the readers in order of preference.
    [[nodiscard]] const std::vector<vm_id>& all() const noexcept
    {
        return readers_;
    }

private:
    struct known_domain
    {
        std::shared_ptr<const member_table::entry_pointers> members_;
        domain_candidates candidates_;
    };

    [[nodiscard]] domain_candidates summarize(
        const region_id& region,
        const member_table::entry_pointers& members) const;

    control_context& context_;
    std::map<failure_domain_id, known_domain> domains_;
    std::vector<vm_id> readers_;
};

} // namespace hemlockshelf

#endif
