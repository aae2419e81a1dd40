#ifndef HEMLOCKSHELF_EXPERIMENT_OPERATORS_HPP
#define HEMLOCKSHELF_EXPERIMENT_OPERATORS_HPP

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "experiment/cluster.hpp"
#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// Submits one edit through a node and records the response.
edit_record submit_edit(
    const cluster& mesh,
    std::size_t node,
    const std::string& change,
    const nlohmann::json& edits);

/// Options of `racing_operators`.
struct operator_options
{
    std::size_t count_ = 3;
    /// Pause of each operator between two edits.
    std::chrono::milliseconds pause_{150};
    std::uint64_t seed_ = 1;
};

/// Operators that edit the same few rows at once: they change, delete and
/// create pools, and add and delete routes to them. Each has a thread.
class racing_operators
{
public:
    racing_operators(const cluster& mesh, operator_options options);
    ~racing_operators();

    racing_operators(const racing_operators&) = delete;
    racing_operators& operator=(const racing_operators&) = delete;

    void start();
    std::vector<edit_record> stop();

private:
    void run(std::size_t number);

    const cluster& mesh_;
    operator_options options_;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::vector<edit_record> records_;
    std::vector<std::thread> threads_;
};

} // namespace hemlockshelf

#endif
