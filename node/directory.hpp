#ifndef HEMLOCKSHELF_NODE_DIRECTORY_HPP
#define HEMLOCKSHELF_NODE_DIRECTORY_HPP

#include <vector>

#include "adapters/http/endpoint.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// A node's row in the platform's directory. Its key is
/// `<failure_domain>/<vm>`.
struct directory_row
{
    failure_domain_id failure_domain_;
    vm_id vm_;
    endpoint control_;

    friend bool
    operator==(const directory_row&, const directory_row&) = default;
};

/// Inserts or overwrites the row. Fails with the errors of `commit`.
result<void>
write_directory_row(table_service& tables, const directory_row& row);

/// Does the same if the platform holds no departures of the VM's upstreams, so
/// that one call tells that as well. Fails with `conflict` if it does.
result<void>
register_without_departures(table_service& tables, const directory_row& row);

/// Removes the row of a node that no longer answers. Fails with the errors of
/// `commit`.
result<void>
remove_directory_row(table_service& tables, const directory_row& row);

/// Returns the rows of all failure domains, without malformed ones. Fails with
/// the errors of `scan`.
result<std::vector<directory_row>> read_directory(table_service& tables);

} // namespace hemlockshelf

#endif
