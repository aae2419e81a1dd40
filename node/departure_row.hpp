#ifndef HEMLOCKSHELF_NODE_DEPARTURE_ROW_HPP
#define HEMLOCKSHELF_NODE_DEPARTURE_ROW_HPP

#include <optional>
#include <string>
#include <vector>

#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/editing/table_service.hpp"
#include "hemlockshelf/membership/acknowledged_upstream.hpp"
#include "node/local_upstream.hpp"

namespace hemlockshelf {

/// The platform's row that holds the departures of the upstreams on one VM, so
/// that they outlast the processes of all nodes. Each VM has one row, which is
/// overwritten. Not thread-safe.
class departure_row
{
public:
    departure_row(
        table_service& tables, const vm_id& vm, local_upstream& upstream);

    /// Reads the row and adds what it holds to the upstream. Fails with the
    /// errors of `read`.
    result<void> load();

    /// Returns once the row holds all departures of the upstream. Fails with
    /// the errors of `read` and `commit`; the row may then hold them or not.
    result<void> save();

    /// Makes the next `save` read the row first.
    void forget();

    /// Makes the next `save` read the row first, unless it was read or written
    /// in this era of the platform or a later one: the platform may have lost
    /// the row.
    void require(platform_era era);

    /// Tells that the row does not exist, so that it need not be read.
    void assume_absent();

private:
    [[nodiscard]] platform_era latest_era() const;
    result<void> write(const std::vector<acknowledged_upstream>& departures);

    table_service& tables_;
    std::string key_;
    local_upstream& upstream_;
    /// Version of the row; nullopt unless it is known from a read.
    std::optional<row_version> version_;
    /// What the row holds; nullopt if that is not known.
    std::optional<std::vector<acknowledged_upstream>> stored_;
    /// Era of the platform in which that is known to hold.
    platform_era stored_era_;
    /// Latest era that is known of.
    platform_era required_era_;
};

/// Returns the condition that no upstream has left the VM.
row_check no_departures(const vm_id& vm);

/// Removes the row of a VM that no longer exists. Fails with the errors of
/// `commit`.
result<void> remove_departure_row(table_service& tables, const vm_id& vm);

} // namespace hemlockshelf

#endif
