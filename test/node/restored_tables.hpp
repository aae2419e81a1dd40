#ifndef HEMLOCKSHELF_TEST_NODE_RESTORED_TABLES_HPP
#define HEMLOCKSHELF_TEST_NODE_RESTORED_TABLES_HPP

#include <atomic>

#include "hemlockshelf/editing/table_service.hpp"
#include "standins/platform/memory_tables.hpp"

namespace hemlockshelf {

/// Tables that lose all rows when they are restored from an empty copy.
/// Thread-safe.
class restored_tables final : public table_service
{
public:
    result<std::optional<stored_row>>
    read(const std::string& table, const std::string& key) override
    {
        return current().read(table, key);
    }

    result<std::vector<stored_row>> scan(const scan_range& range) override
    {
        return current().scan(range);
    }

    result<void> commit(const transaction& writes) override
    {
        return current().commit(writes);
    }

    [[nodiscard]] platform_era era() const override
    {
        return platform_era{stated_era_};
    }

    /// Replaces all rows. The answers state the new era from then on, unless
    /// the client has had none since.
    void lose_all_rows(bool states_era)
    {
        is_restored_ = true;
        if (states_era)
        {
            ++stated_era_;
        }
    }

private:
    memory_tables& current()
    {
        return is_restored_ ? copy_ : original_;
    }

    memory_tables original_;
    memory_tables copy_;
    std::atomic<bool> is_restored_ = false;
    std::atomic<std::uint64_t> stated_era_ = 1;
};

} // namespace hemlockshelf

#endif
