#ifndef HEMLOCKSHELF_NODE_DEPARTURE_AGENT_HPP
#define HEMLOCKSHELF_NODE_DEPARTURE_AGENT_HPP

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "hemlockshelf/core/random_source.hpp"
#include "node/departure_row.hpp"

namespace hemlockshelf {

/// Reads and writes the departures of the upstream on the node's VM on its own
/// thread, so that neither waits for other calls to the platform. The thread
/// starts with the first of them; most processes need none.
class departure_agent
{
public:
    /// Is called on the agent's thread after the first attempt to read or write
    /// the row, and once one has succeeded.
    using load_handler = std::function<void(bool loaded)>;

    departure_agent(
        table_service& tables,
        const vm_id& vm,
        local_upstream& upstream,
        load_handler on_load);
    ~departure_agent();

    departure_agent(const departure_agent&) = delete;
    departure_agent& operator=(const departure_agent&) = delete;

    void stop();

    /// Reads the row until the platform has answered. Thread-safe.
    void load();

    /// Tells that the row does not exist, so that it need not be read.
    /// Thread-safe.
    void assume_absent();

    /// Writes the departures of the upstream until the platform has them, and
    /// then calls `done` on the agent's thread. Thread-safe.
    void save(std::function<void()> done);

    /// Writes the departures again if other nodes have removed the row.
    /// Thread-safe.
    void reload();

    /// Writes the departures again if the platform has lost them before this
    /// era. Thread-safe.
    void restore_in(platform_era era);

private:
    void start();
    void check_again();
    void run();
    bool update();
    void report_load(bool loaded);
    [[nodiscard]] std::chrono::milliseconds retry_delay();

    table_service& tables_;
    departure_row row_;
    load_handler on_load_;
    bool loaded_ = false;
    /// Updates that failed since one succeeded.
    std::uint32_t failures_ = 0;
    random_source random_{std::random_device{}()};
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    bool reload_ = false;
    platform_era required_era_;
    std::vector<std::function<void()>> waiting_;
    std::thread thread_;
};

} // namespace hemlockshelf

#endif
