#ifndef HEMLOCKSHELF_EDITING_TABLE_SERVICE_HPP
#define HEMLOCKSHELF_EDITING_TABLE_SERVICE_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// A row as the table service holds it.
struct stored_row
{
    std::string key_;
    row_version version_;
    nlohmann::json value_;
};

/// Condition of a transaction: the row has this version; 0 means absent.
struct row_check
{
    std::string table_;
    std::string key_;
    row_version version_;
};

/// Write of a transaction; a null value deletes the row.
struct row_write
{
    std::string table_;
    std::string key_;
    nlohmann::json value_;
};

/// All checks hold and all writes happen, or nothing happens.
struct transaction
{
    std::vector<row_check> checks_;
    std::vector<row_write> writes_;
};

/// Rows of a table in the order of their keys.
struct scan_range
{
    std::string table_;
    /// Keys up to and including this one are skipped.
    std::string after_;
    std::string prefix_;
    std::size_t limit_ = 1000;
};

/// Port to the platform's transactional tables. Calls block, up to the
/// adapter's timeout, and may be made from several threads. Besides the errors
/// named below, each call has the error `rate_limited` if the service refused
/// it for the rate of requests; it certainly was not executed.
class table_service
{
public:
    virtual ~table_service() = default;

    /// Returns the row, or nothing if it is absent. The error is
    /// `platform_unavailable`.
    virtual result<std::optional<stored_row>>
    read(const std::string& table, const std::string& key) = 0;

    /// Returns rows of a range. The error is `platform_unavailable`.
    virtual result<std::vector<stored_row>> scan(const scan_range& range) = 0;

    /// Commits a transaction. The errors are `conflict` if a check failed,
    /// `platform_unavailable` if it certainly did not commit, and
    /// `outcome_unknown` if the answer was lost.
    virtual result<void> commit(const transaction& writes) = 0;

    /// Returns the time to wait that the service named with its last
    /// `rate_limited`, to any thread; 0 if it named none.
    [[nodiscard]] virtual std::chrono::milliseconds retry_after() const
    {
        return std::chrono::milliseconds{0};
    }

protected:
    table_service() = default;
    table_service(const table_service&) = default;
    table_service& operator=(const table_service&) = default;
};

} // namespace hemlockshelf

#endif
