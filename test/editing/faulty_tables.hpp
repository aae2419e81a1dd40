#ifndef HEMLOCKSHELF_TEST_EDITING_FAULTY_TABLES_HPP
#define HEMLOCKSHELF_TEST_EDITING_FAULTY_TABLES_HPP

#include <mutex>
#include <random>
#include <vector>

#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// Probabilities of the faults of one request.
struct fault_rates
{
    /// A read or a commit is refused and nothing is done.
    double refuse_ = 0;
    /// A commit takes effect and its answer is lost.
    double lose_after_ = 0;
    /// A commit is lost on its way and its answer does not come.
    double lose_before_ = 0;
    /// A commit gets no answer and arrives during a later one.
    double delay_ = 0;
};

/// Wraps tables that several editors share and injects faults. Thread-safe.
class faulty_tables final : public table_service
{
public:
    faulty_tables(table_service& tables, fault_rates rates, unsigned seed);

    result<std::optional<stored_row>>
    read(const std::string& table, const std::string& key) override;
    result<std::vector<stored_row>> scan(const scan_range& range) override;
    result<void> commit(const transaction& writes) override;

    /// Lets the delayed commits arrive.
    void deliver_delayed();

private:
    bool happens(double probability);

    table_service& tables_;
    fault_rates rates_;
    std::mutex mutex_;
    std::mt19937 random_;
    std::vector<transaction> delayed_;
};

} // namespace hemlockshelf

#endif
