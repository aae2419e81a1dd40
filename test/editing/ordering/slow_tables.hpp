#ifndef HEMLOCKSHELF_TEST_EDITING_ORDERING_SLOW_TABLES_HPP
#define HEMLOCKSHELF_TEST_EDITING_ORDERING_SLOW_TABLES_HPP

#include <atomic>
#include <chrono>

#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// One node's way to the shared tables: each request takes a round trip, and
/// the node can be paused between the preparation of a commit and its arrival.
class slow_tables final : public table_service
{
public:
    slow_tables(table_service& tables, std::chrono::milliseconds round_trip);

    result<std::optional<stored_row>>
    read(const std::string& table, const std::string& key) override;
    result<std::vector<stored_row>> scan(const scan_range& range) override;
    result<void> commit(const transaction& writes) override;

    /// Holds back the next commit for `length`.
    void pause_next_commit(std::chrono::milliseconds length);

private:
    void travel() const;

    table_service& tables_;
    std::chrono::milliseconds round_trip_;
    std::atomic<std::chrono::milliseconds> pause_{};
};

} // namespace hemlockshelf

#endif
