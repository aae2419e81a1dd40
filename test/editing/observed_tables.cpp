#include "test/editing/observed_tables.hpp"

namespace hemlockshelf {

observed_tables::observed_tables(table_service& tables) : tables_(tables) {}

result<std::optional<stored_row>>
observed_tables::read(const std::string& table, const std::string& key)
{
    return tables_.read(table, key);
}

result<std::vector<stored_row>> observed_tables::scan(const scan_range& range)
{
    auto rows = tables_.scan(range);
    scanned_ += rows ? rows->size() : 0;
    return rows;
}

result<void> observed_tables::commit(const transaction& writes)
{
    if (before_commit_)
    {
        before_commit_();
    }
    return tables_.commit(writes);
}

} // namespace hemlockshelf
