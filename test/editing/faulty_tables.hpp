#ifndef HEMLOCKSHELF_TEST_EDITING_FAULTY_TABLES_HPP
#define HEMLOCKSHELF_TEST_EDITING_FAULTY_TABLES_HPP

#include <chrono>
#include <mutex>
#include <optional>
#include <random>
#include <vector>

#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// Probability of each kind of fault per request.
struct fault_rates
{
    /// A read or commit is rejected without effect.
    double refuse_ = 0;
    /// A commit takes effect but its response is lost.
    double lose_after_ = 0;
    /// A commit request is lost, and no response arrives.
    double lose_before_ = 0;
    /// A commit gets no response and is executed during a later commit.
    double delay_ = 0;
    /// A read or commit is rejected by the platform's rate limit.
    double limit_ = 0;
};

/// Wraps tables shared by several editors and injects faults. Thread-safe.
class faulty_tables final : public table_service
{
public:
    faulty_tables(table_service& tables, fault_rates rates, unsigned seed);

    result<std::optional<stored_row>>
    read(const std::string& table, const std::string& key) override;
    result<std::vector<stored_row>> scan(const scan_range& range) override;
    result<void> commit(const transaction& writes) override;
    [[nodiscard]] std::chrono::milliseconds retry_after() const override;

    /// Executes the delayed commits.
    void deliver_delayed();

    /// Rejects the next `count` reads or commits with `rate_limited` and the
    /// given retry delay.
    void limit_reads(int count, std::chrono::milliseconds retry_after);
    void limit_commits(int count, std::chrono::milliseconds retry_after);

    /// Rejects the `count` reads after the next commit with `rate_limited`.
    void limit_reads_after_commit(int count);

    /// Executes the next commit but loses its response.
    void lose_next_response();

    /// Returns the number of requested commits, including rejected ones.
    [[nodiscard]] int commits() const;

private:
    /// Requests that are still to be rejected with `rate_limited`.
    struct pending_rejections
    {
        int count_ = 0;
        std::chrono::milliseconds retry_after_{};
    };

    bool draw(double probability);
    bool take_response_loss();
    std::optional<error> take_rate_limit(pending_rejections& pending);

    table_service& tables_;
    fault_rates rates_;
    mutable std::mutex mutex_;
    std::mt19937 random_;
    std::vector<transaction> delayed_;
    pending_rejections limited_reads_;
    pending_rejections limited_commits_;
    std::chrono::milliseconds named_wait_{};
    int reads_to_limit_ = 0;
    bool lose_next_response_ = false;
    int commits_ = 0;
};

} // namespace hemlockshelf

#endif
