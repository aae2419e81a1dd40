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

/// A row of the table service.
struct stored_row
{
    std::string key_;
    row_version version_;
    nlohmann::json value_;
};

/// Precondition of a transaction: the row has this version, or is absent if the
/// version is 0.
struct row_check
{
    std::string table_;
    std::string key_;
    row_version version_;
};

/// A write of a transaction; a null value deletes the row.
struct row_write
{
    std::string table_;
    std::string key_;
    nlohmann::json value_;
};

/// A conditional, atomic set of writes: if all checks hold, all writes are
/// applied, otherwise none.
struct transaction
{
    std::vector<row_check> checks_;
    std::vector<row_write> writes_;
};

/// Selects rows of a table, in the order of their keys.
struct scan_range
{
    std::string table_;
    /// Exclusive lower bound of the keys.
    std::string after_;
    std::string prefix_;
    std::size_t limit_ = 1000;
};

/// Port to the platform's transactional tables. Calls block for at most the
/// adapter's timeout. Implementations must be thread-safe. In addition to the
/// errors listed below, each call fails with `rate_limited` if the service
/// rejected it because of its request rate limit; it was then not executed.
class table_service
{
public:
    virtual ~table_service() = default;

    /// Returns the row, or nothing if it does not exist. The value of a row
    /// that is not JSON is null. The error is `platform_unavailable`.
    virtual result<std::optional<stored_row>>
    read(const std::string& table, const std::string& key) = 0;

    /// Returns the rows of a range. The error is `platform_unavailable`.
    virtual result<std::vector<stored_row>> scan(const scan_range& range) = 0;

    /// Commits a transaction. The errors are `conflict` if a check failed,
    /// `platform_unavailable` if it was definitely not committed, and
    /// `outcome_unknown` if the response was lost.
    virtual result<void> commit(const transaction& writes) = 0;

    /// Returns the delay that the service requested with its last
    /// `rate_limited` response, on any thread; 0 if it requested none.
    [[nodiscard]] virtual std::chrono::milliseconds retry_after() const
    {
        return std::chrono::milliseconds{0};
    }

    /// Returns the latest era that an answer has stated, on any thread.
    [[nodiscard]] virtual platform_era era() const
    {
        return {};
    }

protected:
    table_service() = default;
    table_service(const table_service&) = default;
    table_service& operator=(const table_service&) = default;
};

} // namespace hemlockshelf

#endif
