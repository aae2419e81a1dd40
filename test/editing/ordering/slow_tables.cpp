#include "test/editing/ordering/slow_tables.hpp"

#include <thread>

namespace hemlockshelf {

slow_tables::slow_tables(
    table_service& tables, std::chrono::milliseconds round_trip)
    : tables_(tables), round_trip_(round_trip)
{}

result<std::optional<stored_row>>
slow_tables::read(const std::string& table, const std::string& key)
{
    sleep_one_way();
    auto row = tables_.read(table, key);
    sleep_one_way();
    return row;
}

result<std::vector<stored_row>> slow_tables::scan(const scan_range& range)
{
    sleep_one_way();
    auto rows = tables_.scan(range);
    sleep_one_way();
    return rows;
}

result<void> slow_tables::commit(const transaction& writes)
{
    std::this_thread::sleep_for(
        pause_.exchange(std::chrono::milliseconds::zero()));
    sleep_one_way();
    auto committed = tables_.commit(writes);
    sleep_one_way();
    return committed;
}

void slow_tables::pause_next_commit(std::chrono::milliseconds length)
{
    pause_ = length;
}

void slow_tables::sleep_one_way() const
{
    std::this_thread::sleep_for(round_trip_ / 2);
}

} // namespace hemlockshelf
