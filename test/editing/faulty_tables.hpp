#ifndef HEMLOCKSHELF_TEST_EDITING_FAULTY_TABLES_HPP
#define HEMLOCKSHELF_TEST_EDITING_FAULTY_TABLES_HPP

#include <chrono>
#include <mutex>
#include <optional>
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
    /// A read or a commit is beyond the platform's rate and nothing is done.
    double limit_ = 0;
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
    [[nodiscard]] std::chrono::milliseconds retry_after() const override;

    /// Lets the delayed commits arrive.
    void deliver_delayed();

    /// Refuses the next `count` requests of a kind for the platform's rate and
    /// names the time to wait.
    void limit_reads(int count, std::chrono::milliseconds retry_after);
    void limit_commits(int count, std::chrono::milliseconds retry_after);

    /// Refuses the `count` reads that follow the next commit.
    void limit_reads_after_commit(int count);

    /// Lets the next commit take effect and loses its answer.
    void lose_next_answer();

    /// Returns the commits that were asked for, refused ones included.
    [[nodiscard]] int commits() const;

private:
    /// Requests that are still to be refused for the rate.
    struct pending_limit
    {
        int count_ = 0;
        std::chrono::milliseconds retry_after_{};
    };

    bool happens(double probability);
    bool takes_next_loss();
    std::optional<error> limited(pending_limit& pending);

    table_service& tables_;
    fault_rates rates_;
    mutable std::mutex mutex_;
    std::mt19937 random_;
    std::vector<transaction> delayed_;
    pending_limit limited_reads_;
    pending_limit limited_commits_;
    std::chrono::milliseconds named_wait_{};
    int reads_to_limit_ = 0;
    bool lose_next_answer_ = false;
    int commits_ = 0;
};

} // namespace hemlockshelf

#endif
