#ifndef HEMLOCKSHELF_TEST_EDITING_OBSERVED_TABLES_HPP
#define HEMLOCKSHELF_TEST_EDITING_OBSERVED_TABLES_HPP

#include <cstddef>
#include <functional>

#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// Forwards requests, counts the scanned rows, and calls `before_commit_`, if
/// set, before each commit.
class observed_tables final : public table_service
{
public:
    explicit observed_tables(table_service& tables);

    result<std::optional<stored_row>>
    read(const std::string& table, const std::string& key) override;
    result<std::vector<stored_row>> scan(const scan_range& range) override;
    result<void> commit(const transaction& writes) override;

    std::size_t scanned_ = 0;
    std::function<void()> before_commit_;

private:
    table_service& tables_;
};

} // namespace hemlockshelf

#endif
