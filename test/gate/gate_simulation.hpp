#ifndef HEMLOCKSHELF_TEST_GATE_GATE_SIMULATION_HPP
#define HEMLOCKSHELF_TEST_GATE_GATE_SIMULATION_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "hemlockshelf/core/random_source.hpp"
#include "hemlockshelf/gate/admission.hpp"

namespace hemlockshelf {

/// A source of calls with exponentially distributed inter-arrival times.
struct call_source
{
    std::string account_;
    std::string entry_;
    traffic_class class_ = traffic_class::standard;
    double per_second_ = 0;
    std::chrono::milliseconds deadline_{200};
    /// Size of the body, which is sent after the call has started; 0 for none.
    std::uint64_t body_bytes_ = 0;
};

/// Outcome of the calls of one source.
struct source_result
{
    std::size_t offered_ = 0;
    std::size_t done_in_time_ = 0;
    std::size_t done_late_ = 0;
    std::size_t refused_ = 0;
    std::chrono::nanoseconds longest_start_{0};
    /// Longest time for which the link delayed a call on its way to the gate.
    std::chrono::nanoseconds longest_link_wait_{0};
};

/// Simulates a gate and its upstream with an event loop. The bodies in transfer
/// share the bandwidth of the VM's link evenly, and the window of bytes that
/// each sender has in flight delays all other arriving traffic.
class gate_simulation
{
public:
    gate_simulation(
        std::uint32_t slots,
        std::chrono::milliseconds mean_service_time,
        const gate_settings& settings = {});

    /// Sets the capacity of the VM's link. The gate knows it only from its
    /// settings.
    void set_link(bit_rate capacity)
    {
        link_ = capacity;
    }

    /// Runs the sources and returns a result for each.
    std::vector<source_result>
    run(const std::vector<call_source>& sources, std::chrono::seconds length);

private:
    struct event
    {
        steady_time at_;
        std::function<void()> run_;

        bool operator<(const event& other) const
        {
            return at_ > other.at_;
        }
    };

    struct pending_call
    {
        std::size_t source_ = 0;
        steady_time arrived_at_;
        steady_time deadline_;
        std::uint64_t body_bytes_ = 0;
    };

    /// A body in transfer.
    struct transfer
    {
        gate_call_id id_;
        double bytes_left_ = 0;
        /// Bytes until the next progress report to the gate.
        double part_left_ = 0;
    };

    void schedule_arrival(
        std::size_t index, const call_source& source, steady_time end);
    void offer(std::size_t index, const call_source& source);
    void start_call(gate_call_id id);
    void start_work(gate_call_id id);
    void end(gate_call_id id);
    /// Updates the remaining bytes of all transfers to the current time.
    void advance_transfers();
    void schedule_next_part();
    void deliver_part(gate_call_id id);
    /// Returns how long the link would delay a short message sent now.
    [[nodiscard]] std::chrono::nanoseconds link_wait();
    void apply_events(const gate_events& events);
    double exponential(double mean);

    gate_state gate_;
    std::chrono::milliseconds mean_service_time_;
    random_source random_{20261204};
    steady_time now_{std::chrono::seconds{1000}};
    std::priority_queue<event> events_;
    std::unordered_map<gate_call_id, pending_call> pending_;
    std::vector<source_result> results_;
    bit_rate link_{};
    std::vector<transfer> transfers_;
    steady_time advanced_at_{};
    /// Identifies the last scheduled part; events of earlier ones are ignored.
    std::uint64_t generation_ = 0;
};

} // namespace hemlockshelf

#endif
