#ifndef HEMLOCKSHELF_TEST_EDITING_ORDERING_SLOW_TABLES_HPP
#define HEMLOCKSHELF_TEST_EDITING_ORDERING_SLOW_TABLES_HPP

#include <atomic>
#include <chrono>

#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// A node's connection to the shared tables. Each request takes a round trip,
/// and a commit can be delayed between its preparation and its arrival.
class slow_tables final : public table_service
{
public:
    slow_tables(table_service& tables, std::chrono::milliseconds round_trip);

    result<std::optional<stored_row>>
    read(const std::string& table, const std::string& key) override;
    result<std::vector<stored_row>> scan(const scan_range& range) override;
    result<void> commit(const transaction& writes) override;

    /// Delays the next commit by `length`.
    void pause_next_commit(std::chrono::milliseconds length);

private:
    void sleep_one_way() const;

    table_service& tables_;
    std::chrono::milliseconds round_trip_;
    std::atomic<std::chrono::milliseconds> pause_{};
};

} // namespace hemlockshelf

#endif
