#ifndef HEMLOCKSHELF_EXPERIMENT_VERSIONED_OPERATORS_HPP
#define HEMLOCKSHELF_EXPERIMENT_VERSIONED_OPERATORS_HPP

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "experiment/cluster.hpp"
#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// Operators that read one row and then all edit it at the same time through
/// different nodes, with the version that they read as `expected_version`. At
/// times an edit without it joins the race. A thread runs the rounds.
class versioned_operators
{
public:
    /// `count` operators take part in each round; 0 runs none.
    versioned_operators(
        const cluster& mesh, std::size_t count, std::uint64_t seed);
    ~versioned_operators();

    versioned_operators(const versioned_operators&) = delete;
    versioned_operators& operator=(const versioned_operators&) = delete;

    void start();
    /// Ends after the current round and returns every edit.
    std::vector<edit_record> stop();

private:
    void run();
    [[nodiscard]] std::optional<expected_row> read_row(std::size_t node) const;
    void race(const expected_row& expected);
    nlohmann::json next_row(const expected_row& expected);

    const cluster& mesh_;
    std::size_t count_;
    std::mt19937_64 random_;
    std::size_t edits_ = 0;
    std::atomic<bool> stopping_ = false;
    std::vector<edit_record> records_;
    std::thread thread_;
};

} // namespace hemlockshelf

#endif
