#include "standins/platform/memory_tables.hpp"

#include <fmt/format.h>

namespace hemlockshelf {

result<std::optional<stored_row>>
memory_tables::read(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(mutex_);
    const auto& rows = tables_[table];
    const auto found = rows.find(key);
    if (found == rows.end())
    {
        return std::nullopt;
    }
    return std::optional(found->second);
}

result<std::vector<stored_row>> memory_tables::scan(const scan_range& range)
{
    const std::lock_guard lock(mutex_);
    const auto& rows = tables_[range.table_];
    std::vector<stored_row> found;
    auto row = range.after_ < range.prefix_ ? rows.lower_bound(range.prefix_)
                                            : rows.upper_bound(range.after_);
    for (; row != rows.end() && found.size() < range.limit_ &&
           row->first.starts_with(range.prefix_);
         ++row)
    {
        found.push_back(row->second);
    }
    return found;
}

result<void> memory_tables::commit(const transaction& writes)
{
    const auto outcome = execute(writes);
    if (outcome.conflicts_.empty())
    {
        return {};
    }
    const auto& row = outcome.conflicts_.front();
    return make_error(
        error_kind::conflict, fmt::format(
                                  "row \"{}\" of \"{}\": found version {}",
                                  row.key_, row.table_, row.version_.value()));
}

transaction_result memory_tables::execute(const transaction& writes)
{
    const std::lock_guard lock(mutex_);
    transaction_result outcome;
    for (const auto& check : writes.checks_)
    {
        const row_version found{version_of(check.table_, check.key_)};
        if (found != check.version_)
        {
            outcome.conflicts_.push_back({check.table_, check.key_, found});
        }
    }
    if (!outcome.conflicts_.empty())
    {
        return outcome;
    }
    ++last_version_;
    for (const auto& write : writes.writes_)
    {
        auto& rows = tables_[write.table_];
        if (write.value_.is_null())
        {
            rows.erase(write.key_);
            outcome.versions_.emplace_back(0);
            continue;
        }
        rows[write.key_] = {
            write.key_, row_version{last_version_}, write.value_};
        outcome.versions_.emplace_back(last_version_);
    }
    return outcome;
}

result<void>
memory_tables::put(const std::string& name, const std::string& content)
{
    const std::lock_guard lock(mutex_);
    objects_.emplace(name, content);
    return {};
}

result<std::optional<std::string>> memory_tables::get(const std::string& name)
{
    const std::lock_guard lock(mutex_);
    const auto found = objects_.find(name);
    if (found == objects_.end())
    {
        return std::nullopt;
    }
    return std::optional(found->second);
}

result<void> memory_tables::remove(const std::string& name)
{
    const std::lock_guard lock(mutex_);
    objects_.erase(name);
    return {};
}

std::uint64_t memory_tables::version_of(
    const std::string& table, const std::string& key) const
{
    const auto rows = tables_.find(table);
    if (rows == tables_.end())
    {
        return 0;
    }
    const auto row = rows->second.find(key);
    return row == rows->second.end() ? 0 : row->second.version_.value();
}

} // namespace hemlockshelf
