#ifndef HEMLOCKSHELF_EXPERIMENT_REVISION_WATCHER_HPP
#define HEMLOCKSHELF_EXPERIMENT_REVISION_WATCHER_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "experiment/cluster.hpp"
#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// Polls the revision of every node over a persistent connection and records
/// each report that differs from the previous one.
class revision_watcher
{
public:
    revision_watcher(const cluster& mesh, std::chrono::milliseconds interval);
    ~revision_watcher();

    revision_watcher(const revision_watcher&) = delete;
    revision_watcher& operator=(const revision_watcher&) = delete;

    void start();
    std::vector<revision_report> stop();

    /// Returns when the node first reported at least `number`, if it did.
    std::optional<event_time> reached_at(const vm_id& vm, revision number);

private:
    boost::asio::awaitable<void> watch(std::size_t index);
    boost::asio::awaitable<void>
    watch_connection(std::size_t index, std::uint64_t connection);
    /// A process is identified by its incarnation, or by the connection if the
    /// node reports none.
    void record(
        const vm_id& vm,
        std::uint64_t connection,
        const nlohmann::json& status);

    const cluster& mesh_;
    std::chrono::milliseconds interval_;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::vector<revision_report> reports_;
    std::map<vm_id, revision_report> last_;
    std::thread thread_;
    boost::asio::io_context context_{1};
};

} // namespace hemlockshelf

#endif
