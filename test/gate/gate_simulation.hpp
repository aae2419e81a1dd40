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

/// A source of calls with exponential gaps.
struct call_source
{
    std::string account_;
    std::string entry_;
    traffic_class class_ = traffic_class::standard;
    double per_second_ = 0;
    std::chrono::milliseconds deadline_{200};
    /// Size of the body that the entry holds back; 0 for none.
    std::uint64_t body_bytes_ = 0;
};

/// What became of the calls of one source.
struct source_result
{
    std::size_t offered_ = 0;
    std::size_t done_in_time_ = 0;
    std::size_t done_late_ = 0;
    std::size_t refused_ = 0;
    std::chrono::nanoseconds longest_start_{0};
    /// Longest time for which the link held a call up before the gate saw it.
    std::chrono::nanoseconds longest_link_wait_{0};
};

/// Drives a gate and its upstream with an event loop. The VM's link shares its
/// bandwidth evenly among the bodies that are on their way; the window of bytes
/// that each sender has in flight stands before whatever else arrives.
class gate_simulation
{
public:
    gate_simulation(
        std::uint32_t slots,
        std::chrono::milliseconds mean_service_time,
        const gate_settings& settings = {});

    /// Gives the VM a link, which the gate knows only by its settings.
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

    /// A body that is on its way.
    struct transfer
    {
        gate_call_id id_;
        double bytes_left_ = 0;
        /// Bytes until the gate is told of the next part.
        double part_left_ = 0;
    };

    void schedule_arrival(
        std::size_t index, const call_source& source, steady_time end);
    void offer(std::size_t index, const call_source& source);
    void start_call(gate_call_id id);
    void start_work(gate_call_id id);
    void end(gate_call_id id);
    /// Moves the bodies on and plans the arrival of the next part of one.
    void advance_transfers();
    void schedule_next_part();
    void deliver_part(gate_call_id id);
    /// Returns how long a short message now waits before it arrives.
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
    /// Tells a planned arrival that it has been planned anew.
    std::uint64_t generation_ = 0;
};

} // namespace hemlockshelf

#endif
