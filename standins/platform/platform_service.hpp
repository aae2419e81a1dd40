#ifndef HEMLOCKSHELF_STANDINS_PLATFORM_PLATFORM_SERVICE_HPP
#define HEMLOCKSHELF_STANDINS_PLATFORM_PLATFORM_SERVICE_HPP

#include <atomic>
#include <chrono>
#include <cstdint>

#include "adapters/http/http_message.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "standins/platform/memory_tables.hpp"
#include "standins/platform/platform_faults.hpp"
#include "standins/platform/rate_limit.hpp"

namespace hemlockshelf {

/// Capacity of the stand-in.
struct platform_capacity
{
    double writes_per_second_ = 400;
    double reads_per_second_ = 2000;
    /// Latency of each request.
    std::chrono::milliseconds latency_{0};
};

/// Serves the platform's protocol with rate limits and faults. Thread-safe; a
/// call blocks for the latency.
class platform_service
{
public:
    platform_service(const clock& time, platform_capacity capacity);

    /// Answers a request. Throws `withheld_response` if the active fault
    /// withholds the answer.
    http_response handle(const http_request& request);

private:
    struct counters
    {
        std::atomic<std::uint64_t> reads_ = 0;
        std::atomic<std::uint64_t> writes_ = 0;
        std::atomic<std::uint64_t> conflicts_ = 0;
        std::atomic<std::uint64_t> limited_ = 0;
        std::atomic<std::uint64_t> faults_ = 0;
        std::atomic<std::uint64_t> received_bytes_ = 0;
        std::atomic<std::uint64_t> sent_bytes_ = 0;
    };

    http_response set_fault(const http_request& request);
    [[nodiscard]] http_response show_counters() const;
    http_response execute(const http_request& request, bool is_write);

    const clock& time_;
    platform_capacity capacity_;
    memory_tables tables_;
    platform_faults faults_;
    rate_limit write_limit_;
    rate_limit read_limit_;
    counters counters_;
};

} // namespace hemlockshelf

#endif
