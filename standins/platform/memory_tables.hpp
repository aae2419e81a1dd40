#ifndef HEMLOCKSHELF_STANDINS_PLATFORM_MEMORY_TABLES_HPP
#define HEMLOCKSHELF_STANDINS_PLATFORM_MEMORY_TABLES_HPP

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "hemlockshelf/editing/object_store.hpp"
#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// Result of a transaction.
struct transaction_result
{
    /// Version of each written row, in order; 0 for a deletion. Empty if a
    /// check failed.
    std::vector<row_version> versions_;
    /// Failed checks, with the current versions of the rows.
    std::vector<row_check> conflicts_;
};

/// Tables and blobs in memory, with the semantics of the platform's service.
/// Thread-safe. Tests use it directly; `platform_standin` serves it over HTTP.
class memory_tables final : public table_service, public object_store
{
public:
    result<std::optional<stored_row>>
    read(const std::string& table, const std::string& key) override;
    result<std::vector<stored_row>> scan(const scan_range& range) override;
    result<void> commit(const transaction& writes) override;

    /// Like `commit`, but also returns the versions.
    transaction_result execute(const transaction& writes);

    result<void>
    put(const std::string& name, const std::string& content) override;
    result<std::optional<std::string>> get(const std::string& name) override;
    result<void> remove(const std::string& name) override;

private:
    using table_rows = std::map<std::string, stored_row>;

    [[nodiscard]] std::uint64_t
    version_of(const std::string& table, const std::string& key) const;

    std::mutex mutex_;
    std::map<std::string, table_rows> tables_;
    std::map<std::string, std::string> objects_;
    std::uint64_t last_version_ = 0;
};

} // namespace hemlockshelf

#endif
